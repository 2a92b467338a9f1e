package stand

// Settings returns the settings of a small deployment, in the form and with the figures of the wire page's example: three
// classes, lists that are pushed, probes, cancellations, four attempts and no second copies. change may alter the tree.
func Settings(change func(settings map[string]any)) map[string]any {
	class := func(name, effect string, aim, deadline int, worth float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "aimUs": aim, "deadlineUs": deadline, "worth": worth, "lateWorth": 0.25,
			"windowUs": 5_000_000, "group": "all", "streaming": false}
	}
	s := map[string]any{
		"caps": map[string]any{"cancel": true, "connIdleUs": 60_000_000, "connectTimeoutUs": 150_000, "cpuUsPerRequest": 0.0,
			"cpuUsPerS": 500_000, "maxOpen": 20_000, "maxRetryAfterUs": 2_000_000, "mostTries": 4, "peers": false, "probes": true,
			"retryAfter": true, "secondCopies": false, "streamsPerConn": 1},
		"charges": map[string]any{"connection": 0.0, "crossZone": 0.13, "discovery": 0.0, "handshake": 0.02, "lateFail": 0.05, "moves": 0.0,
			"origin": 0.0, "peer": 0.0096, "probe": 0.0018, "waste": 0.028},
		"classes": []any{class("board-view", "repeatable", 500_000, 5_000_000, 3), class("move", "once", 1_000_000, 10_000_000, 2),
			class("settle", "once", 1_200_000, 20_000_000, 10)},
		"clients": map[string]any{"marksRetry": false}, "dcs": []any{"suva", "lautoka"}, "discovery": "push", "domainType": "jobs",
		"groupSize": 1, "kinds": []any{"gen3", "gen2", "gen1"}, "locality": 0, "overShareWorth": 0.1, "rank": 0,
		"report": map[string]any{"fields": []any{"waiting", "avg_ms", "active", "x0"}, "how": "probe"},
		"rules": map[string]any{"answerSlackUs": 16_000, "askWithinUs": 10_000_000, "coldFrom": 0.31, "drainGraceUs": 1_000_000,
			"overloadFactor": 3.0, "tipAfterUs": 1_000_000, "warmWithinUs": 8_900_000},
		"scoringMix": map[string]any{"whole": 0.45, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.35},
		"specifics": map[string]any{"classKind": []any{-1, -1, -1}, "classPriority": []any{0, 0, 1}, "classStretch": []any{2.0, 2.0, 2.0},
			"memoryUnit": "a worker has one unit for each slot", "notes": "1 it has started, 2 share done", "progressUs": 0,
			"queueOrder": "fifo", "reportX0": "free slots", "reportX1": "free memory", "tellsStart": true},
		"stage": 0, "tenants": []any{}, "tickUs": 4000, "tiers": []any{"table-workers"}, "weights": "nominal", "worthBy": "request",
	}
	if change != nil {
		change(s)
	}
	return s
}

// KilnSettings returns the settings of a small deployment like the second organisation's: its three classes, lists that have
// to be asked for, five attempts, second copies where the class allows a repeat, and four sites 10 to 20 ms apart.
func KilnSettings(change func(settings map[string]any)) map[string]any {
	return Settings(func(s map[string]any) {
		class := func(name, effect string, deadline int, worth float64) map[string]any {
			return map[string]any{"name": name, "effect": effect, "aimUs": 300_000, "deadlineUs": deadline, "worth": worth, "lateWorth": 0.0,
				"windowUs": 5_000_000, "group": "all", "streaming": false}
		}
		s["classes"] = []any{class("naptar-nezet", "repeatable", 6_000_000, 2), class("szabad-hely", "repeatable", 5_000_000, 2),
			class("foglalas", "once", 5_000_000, 10)}
		s["dcs"], s["kinds"] = []any{"budapest", "pecs", "szeged", "gyor"}, []any{"uj-gyors", "regi-pecsi", "regi-szegedi"}
		s["discovery"], s["worthBy"], s["weights"] = "ask", "work", "none"
		caps := s["caps"].(map[string]any)
		caps["connIdleUs"], caps["connectTimeoutUs"], caps["mostTries"], caps["secondCopies"], caps["retryAfter"] =
			30_000_000, 250_000, 5, true, false
		rules := s["rules"].(map[string]any)
		rules["drainGraceUs"], rules["overloadFactor"], rules["coldFrom"], rules["warmWithinUs"] = 250_000, 4.0, 0.12, 24_000_000
		s["report"] = map[string]any{"fields": []any{"err_rps", "cpu", "x0"}, "how": "probe"}
		charges := s["charges"].(map[string]any)
		charges["crossZone"], charges["probe"], charges["waste"], charges["lateFail"] = 0.015, 0.0028, 0.08, 0.077
		if change != nil {
			change(s)
		}
	})
}
