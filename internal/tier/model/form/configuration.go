package form

// The form of a configuration and of its parts. Fields that aren't listed are passed over, for a configuration may gain
// fields. What ties the parts together is checked by model.Validate.
var (
	routeForm = object([]field{
		{name: "name", check: text},
		{name: "host", required: true, check: filledText},
		{name: "startsWith", required: true, check: prefixText},
		{name: "kind", required: true, check: oneOf("retryable", "once_only", "streaming")},
		{name: "giveUpMs", required: true, check: positive},
		{name: "targetMs", check: number},
		{name: "rank", check: number},
		{name: "service", check: orNull(text)},
		{name: "shares", check: orNull(list(shareForm))},
		{name: "tries", check: number},
		{name: "remembered", check: orNull(flag)},
		{name: "keepForS", check: orNull(number)},
		{name: "pinned", check: orNull(flag)},
		{name: "canResume", check: orNull(flag)},
		{name: "gap_aim_ms", check: orNull(number)},
	})
	shareForm = object([]field{
		{name: "service", required: true, check: filledText},
		{name: "share", required: true, check: notNegative},
	})
	serviceForm = object([]field{
		{name: "name", required: true, check: filledText},
		{name: "healthPath", check: orNull(text)},
		{name: "maxConnections", check: orNull(number)},
		{name: "protocol", check: orNull(text)},
		{name: "tls", check: orNull(flag)},
		{name: "engine", check: orNull(engineForm)},
	})
	engineForm = object([]field{
		{name: "capacity", check: orNull(number)},
		{name: "cacheTokens", check: orNull(number)},
		{name: "tokenCacheBytes", check: orNull(number)},
		{name: "networkMbps", check: orNull(number)},
		{name: "tokensPerEvent", check: orNull(number)},
		{name: "models", check: orNull(list(modelForm))},
	})
	modelForm  = object([]field{{name: "name", required: true, check: text}})
	limitsForm = object([]field{
		{name: "maxHeaderBytes", check: orNull(number)},
		{name: "maxBodyBytes", check: orNull(number)},
		{name: "headerWaitMs", check: orNull(number)},
		{name: "idleCloseMs", check: orNull(number)},
	})
)
