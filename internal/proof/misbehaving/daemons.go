package misbehaving

import "strconv"

// DaemonBehaviours returns the behaviours for a port for other daemons, which accepts messages of the
// given size.
func DaemonBehaviours(message, connections, manyConnections int) map[string]Behaviour {
	const pipelined = 400
	behaviours := Behaviours(message, connections, manyConnections)
	behaviours["idle"] = Behaviour{manyConnections, func(*conn) {}}
	behaviours["answers not read"] = Behaviour{manyConnections, func(c *conn) {
		request := c.head() + "Content-Length: " + strconv.Itoa(len(c.target.Body)) + "\r\n\r\n" + string(c.target.Body)
		for range pipelined {
			if !c.write([]byte(request), len(request)) {
				return
			}
		}
	}}
	return behaviours
}
