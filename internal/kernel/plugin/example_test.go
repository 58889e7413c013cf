package plugin_test

import (
	"context"
	"fmt"
	"time"

	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/plugin"
)

func ExampleWake() {
	wake := make(chan struct{}, 1)
	plugin.Wake(wake)
	plugin.Wake(wake) // The second one changes nothing.
	fmt.Println(plugin.SleepOrWake(context.Background(), clock.Real(), time.Hour, wake), len(wake))
	// Output: true 0
}
