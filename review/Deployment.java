package io.masticlane.review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;

/**
 * A small deployment: a store, instances of one service and gateways, all ended when it
 * is closed.
 */
final class Deployment implements AutoCloseable {

	static final String HOST = "ledger.example";

	static final String KEY = "k-north";

	private final List<Instance> instances = new ArrayList<>();

	private final List<Gateway> gateways = new ArrayList<>();

	private final Store store = new Store();

	private final Record record;

	private final Path folder = Files.createTempDirectory("masticlane-review");

	Deployment(Record record) throws IOException {
		this.record = record;
		Runtime.getRuntime().addShutdownHook(new Thread(() -> this.gateways.forEach(Gateway::close)));
	}

	Store store() {
		return this.store;
	}

	/**
	 * Writes a configuration as the operator does.
	 * @param version the version
	 * @param keys the keys of the tenant, separated by commas
	 * @param timeoutSeconds the timeout of the routes
	 */
	void configure(int version, String keys, double timeoutSeconds) {
		this.store.put("op/config", ("{'Version':" + version
				+ ",'Services':[{'Name':'circle-ledger','HealthCheck':'/health','MaxConns':390,'ColdStartS':3,"
				+ "'ColdPerS':8.1}],'Limits':{'MaxHeaderBytes':16384,'MaxBodyBytes':67108864,'HeaderTimeoutS':3,"
				+ "'IdleTimeoutS':15},'Tenants':[{'Name':'north','ApiKeys':['" + keys.replace(",", "','")
				+ "'],'Priority':1}],'VirtualHosts':[{'Host':'" + HOST + "','Paths':["
				+ route("read", "idempotent", timeoutSeconds) + "," + route("dues", "non_idempotent", timeoutSeconds)
				+ "]}]}")
			.replace('\'', '"'));
		this.record.line("operator writes version=%d keys=%s", version, keys);
	}

	Instance startInstance(String id, ToLongFunction<Http> workMillis) throws IOException {
		Instance instance = new Instance(id, "circle-ledger", 9, workMillis, this.record);
		instance.register(this.store, "ready");
		this.instances.add(instance);
		return instance;
	}

	Gateway startGateway(String name) throws IOException, InterruptedException {
		Gateway gateway = new Gateway(name, this.store, this.folder);
		this.gateways.add(gateway);
		gateway.start();
		gateway.awaitReady();
		this.record.line("gateway %s is ready", name);
		return gateway;
	}

	/**
	 * Returns whether an instance has run a request.
	 * @param requestId the identifier of the request
	 * @return whether it has run
	 */
	boolean hasRun(String requestId) {
		return this.instances.stream().anyMatch((each) -> each.hasRun(requestId));
	}

	static String head(String method, String path, String id, String key, int timeoutMillis, int length) {
		return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + id
				+ "\r\nCookie: Affinity-Key=" + Math.floorMod(id.hashCode(), 24) + "\r\nRequest-Timeout-Ms: "
				+ timeoutMillis + "\r\nAuthorization: Token " + key + "\r\nContent-Length: " + length + "\r\n\r\n";
	}

	@Override
	public void close() throws IOException {
		this.gateways.forEach(Gateway::close);
		for (Instance each : this.instances) {
			each.close();
		}
		this.store.close();
		try (var files = Files.list(this.folder)) {
			for (Path each : files.toList()) {
				Files.delete(each);
			}
		}
		Files.delete(this.folder);
	}

	private static String route(String name, String kind, double timeoutSeconds) {
		return "{'Name':'" + name + "','PathPrefix':'/" + name + "/','Kind':'" + kind + "','TimeoutS':" + timeoutSeconds
				+ ",'TargetLatencyS':0.8,'Priority':1,'Service':'circle-ledger','MaxAttempts':2,'Public':false,"
				+ "'Sticky':true,'AllowedRegions':[]}";
	}

}
