package review;

/** The desired state that the scripts use: three services, as on the site certimata-gw. */
final class Config {

	static final String KEY = "ctnfzs989anu6wsjnban";

	static final String SECOND_KEY = "fqasnmgkcuyj8pjbvk9m";

	static final String HOST = "hulo84.example";

	private static int version = 0x10;

	private Config() {
	}

	/** Writes a new version; the route times are those of the site's classes. */
	static void write(Store store) {
		write(store, KEY);
	}

	/** Writes a new version with the given keys of the only tenant. */
	static synchronized void write(Store store, String... keys) {
		version += 3;
		store.put("op", "config", """
				{"version":"%08x","routes":{"columns":["name","host","prefix","routeType","timeoutMs","targetLatencyMs",\
				"priority","trafficSplit","maxAttempts","public","service"],"rows":[\
				["lot-history-read","%2$s","/lots/","safe",2000,800,2,null,2,false,"rastro"],\
				["nc-issue","%2$s","/nc/","non_idempotent",2500,800,1,null,2,false,"conforme"],\
				["claim-register","%2$s","/claims/","non_idempotent",1500,500,0,null,2,false,"selo"],\
				["cert-status-read","%2$s","/certs/","safe",6000,2000,2,null,2,false,"selo"]]},\
				"services":{"columns":["name","healthPath","maxConnections","protocol","tls"],"rows":[\
				["rastro","/health",330,"h1",false],["conforme","/health",330,"h1",false],\
				["selo","/health",330,"h1",false]]},\
				"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},\
				"tenants":{"columns":["name","apiKeys","priority","ratePerS","burst"],\
				"rows":[["sese880",["%3$s"],1,100,100]]}}""".formatted(version, HOST, String.join("\",\"", keys)));
	}

}
