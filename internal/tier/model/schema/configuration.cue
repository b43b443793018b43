// What the operator sends as a configuration. Every struct is open, for a configuration may gain fields. Numbers are
// not held to be whole here, for 5000.0 is as good as 5000; reading them judges that.

#Configuration: {
	number!: number & >0
	routes!: [...#Route]
	services!: [...#Service]
	limits?: null | #Limits
	...
}

#Route: {
	name?:       string
	host!:       string & !=""
	startsWith!: =~"^/(?s:.*/)?$"
	kind!:       "retryable" | "once_only" | "streaming"
	giveUpMs!:   number & >0
	targetMs?:   number
	rank?:       number
	service?:    null | string
	shares?: null | [...#Share]
	tries?:      number
	remembered?: null | bool
	keepForS?:   null | number
	pinned?:     null | bool
	canResume?:  null | bool
	gap_aim_ms?: null | number
	...
}

#Share: {
	service!: string & !=""
	share!:   number & >=0
	...
}

#Service: {
	name!:           string & !=""
	healthPath?:     null | string
	maxConnections?: null | number
	protocol?:       null | string
	tls?:            null | bool
	engine?:         null | #Engine
	...
}

#Engine: {
	capacity?:        null | number
	cacheTokens?:     null | number
	tokenCacheBytes?: null | number
	networkMbps?:     null | number
	tokensPerEvent?:  null | number
	models?: null | [...#Model]
	...
}

#Model: {
	name!: string
	...
}

#Limits: {
	maxHeaderBytes?: null | number
	maxBodyBytes?:   null | number
	headerWaitMs?:   null | number
	idleCloseMs?:    null | number
	...
}
