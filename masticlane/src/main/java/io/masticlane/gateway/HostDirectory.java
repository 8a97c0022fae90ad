package io.masticlane.gateway;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

import io.masticlane.event.Event;
import io.masticlane.fleet.Gateway;
import io.masticlane.fleet.GatewayFleet;
import io.masticlane.fleet.HostCapacity;
import io.masticlane.fleet.HostSelection;
import io.masticlane.setting.GatewaySettings;

/**
 * Answers look-ups of entry hosts: all available hosts of the caller's region, or a
 * selection by capacity while the plan in force has download routes.
 */
final class HostDirectory {

	private final GatewayContext gateway;

	private final GatewayFleet fleet;

	private final BooleanSupplier ready;

	private GatewaySettings settings;

	private Map<String, String> regions;

	private String loggedHosts = "";

	HostDirectory(GatewayContext gateway, GatewayFleet fleet, GatewaySettings settings, BooleanSupplier ready) {
		this.gateway = gateway;
		this.fleet = fleet;
		this.ready = ready;
		settings(settings);
	}

	void settings(GatewaySettings updated) {
		this.settings = updated;
		this.regions = regions(updated.regions());
		this.gateway.metrics().capacity(capacity());
	}

	/**
	 * Returns the capacity of this entry host.
	 * @return the capacity according to the settings in force
	 */
	HostCapacity capacity() {
		return HostCapacity.of(this.settings.cpuCores(), this.settings.cpuShare(), this.settings.memoryMegabytes(),
				this.settings.bandwidthMegabits());
	}

	String region(String dataCentre) {
		return this.regions.getOrDefault(dataCentre, dataCentre);
	}

	Optional<byte[]> lookUp(Dialect.LookUp lookUp) {
		String region = this.regions.getOrDefault(lookUp.dataCentre(), lookUp.region());
		List<Gateway> hosts = hosts(region, lookUp.dataCentre());
		double ttl = Math.min(GatewayTimes.LOOK_UP_TTL_SECONDS, this.settings.maximumTtlSeconds());
		return hosts.isEmpty() ? Optional.empty() : Optional
			.of(this.gateway.dialect().lookUpResponse(hosts.stream().map(Gateway::callerAddress).toList(), ttl));
	}

	/**
	 * Logs the hosts that are named to callers of the own data centre if they changed,
	 * and updates their metric, while hosts are selected by capacity.
	 */
	void recordChanges() {
		if (!this.gateway.plan().hasDownloads()) {
			return;
		}
		List<Gateway> hosts = hosts(this.settings.region(), this.settings.dataCentre());
		long local = hosts.stream().filter((host) -> host.dataCentre().equals(this.settings.dataCentre())).count();
		this.gateway.metrics().namedHosts(local, hosts.size() - local);
		String named = hosts.stream().map(Gateway::host).collect(Collectors.joining(","));
		if (!named.equals(this.loggedHosts)) {
			this.gateway.events()
				.record(Event.HOSTS_NAMED, this.settings.dataCentre(), hosts.size(), named, this.loggedHosts);
			this.loggedHosts = named;
		}
	}

	private List<Gateway> hosts(String region, String dataCentre) {
		long now = System.nanoTime();
		if (!this.gateway.plan().hasDownloads()) {
			return this.fleet.availableGateways(region, now).stream().filter(this::acceptsCallers).toList();
		}
		List<Gateway> available = this.fleet.availableGateways(now).stream().filter(this::acceptsCallers).toList();
		return HostSelection.select(region, dataCentre, available, this.fleet.largestCapacity());
	}

	private boolean acceptsCallers(Gateway host) {
		return this.ready.getAsBoolean() || !host.host().equals(this.settings.host());
	}

	private static Map<String, String> regions(String text) {
		Map<String, String> regions = new HashMap<>();
		Arrays.stream(text.split(",")).map((entry) -> entry.trim().split(":", 2)).forEach((pair) -> {
			if (pair.length == 2) {
				regions.put(pair[0], pair[1]);
			}
		});
		return Map.copyOf(regions);
	}

}
