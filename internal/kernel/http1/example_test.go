package http1_test

import (
	"bufio"
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/kernel/http1"
)

func ExampleReadResponseHead() {
	const end = "Content-Length: 0\r\n\r\n"
	for _, raw := range []string{
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + end,
		"HTTP/1.1 000 X\r\n" + end,
		"HTTP/1.1 200 OK\r\nOdd Name: 1\r\n" + end,
	} {
		reader := bufio.NewReader(strings.NewReader(raw))
		var header fasthttp.ResponseHeader
		if err := http1.ReadResponseHead(reader, &header); err != nil {
			fmt.Println(err)
			continue
		}
		fmt.Println(header.StatusCode())
	}
	// Output:
	// 200
	// malformed head: status "000", expected 100 to 599
	// malformed head: field name "Odd Name"
}
