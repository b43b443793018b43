package form

// Forms of the objects of a configuration. Fields that are not listed are skipped, so that fields can be added to configurations.
// model.Validate checks relations between objects. configuration.cue of package schema defines the same forms; both must change together.
var (
	routeForm = object([]fieldForm{
		{name: "name", check: anyText},
		{name: "host", required: true, check: nonEmptyText},
		{name: "startsWith", required: true, check: prefixText},
		{name: "kind", required: true, check: oneOf("retryable", "once_only", "streaming")},
		{name: "giveUpMs", required: true, check: positive},
		{name: "targetMs", check: number},
		{name: "rank", check: number},
		{name: "service", check: orNull(anyText)},
		{name: "shares", check: orNull(list(shareForm))},
		{name: "tries", check: number},
		{name: "remembered", check: orNull(boolean)},
		{name: "keepForS", check: orNull(number)},
		{name: "pinned", check: orNull(boolean)},
		{name: "canResume", check: orNull(boolean)},
		{name: "gap_aim_ms", check: orNull(number)},
	})
	shareForm = object([]fieldForm{
		{name: "service", required: true, check: nonEmptyText},
		{name: "share", required: true, check: nonNegative},
	})
	serviceForm = object([]fieldForm{
		{name: "name", required: true, check: nonEmptyText},
		{name: "healthPath", check: orNull(anyText)},
		{name: "maxConnections", check: orNull(number)},
		{name: "protocol", check: orNull(anyText)},
		{name: "tls", check: orNull(boolean)},
		{name: "engine", check: orNull(engineForm)},
	})
	engineForm = object([]fieldForm{
		{name: "capacity", check: orNull(number)},
		{name: "cacheTokens", check: orNull(number)},
		{name: "tokenCacheBytes", check: orNull(number)},
		{name: "networkMbps", check: orNull(number)},
		{name: "tokensPerEvent", check: orNull(number)},
		{name: "models", check: orNull(list(modelForm))},
	})
	modelForm  = object([]fieldForm{{name: "name", required: true, check: anyText}})
	limitsForm = object([]fieldForm{
		{name: "maxHeaderBytes", check: orNull(number)},
		{name: "maxBodyBytes", check: orNull(number)},
		{name: "headerWaitMs", check: orNull(number)},
		{name: "idleCloseMs", check: orNull(number)},
	})
)
