package io.masticlane.setting;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The settings of the gateway daemon, written as lines of NAME=VALUE in the file that the
 * environment names.
 *
 * @param host The name of this entry host.
 * @param dataCentre The data centre in which this entry host is located.
 * @param region The region of the data centre.
 * @param regions Every data centre with its region, as DATA_CENTRE:REGION separated by
 * commas.
 * @param callerAddress The address for callers.
 * @param readinessAddress The address for readiness checks and metrics.
 * @param directoryAddress The address for look-ups of entry hosts.
 * @param peerAddress The address for other entry hosts.
 * @param storeAddress The address of the platform's store.
 * @param storeMinimumLeaseSeconds The shortest lease that the store grants, in seconds.
 * @param maximumDescriptors The number of file descriptors that the process may open;
 * idle connections of callers are closed when callers hold more than half of them.
 * @param graceSeconds The time in seconds from SIGTERM to SIGKILL.
 * @param maximumTtlSeconds The longest time in seconds for which callers cache a look-up.
 * @param retryRatio The fraction of the requests for a service that all entry hosts
 * together may add as retries.
 * @param retrySlack The number of retries in a window that all entry hosts together may
 * send in addition to the ratio.
 * @param coldOvershoot The factor by which a cold backend server's rate may be exceeded.
 * @param coldSlack The requests per second that a cold backend server may receive in
 * addition to its rate multiplied by the overshoot.
 * @param departureSeconds The longest time in seconds for which a backend server may
 * receive requests after its departure was recorded.
 * @param configurationSeconds The longest time in seconds until a recorded configuration
 * is in force.
 * @param fullMeshHosts The largest number of entry hosts that all report to each other
 * and follow the store by themselves; in a larger fleet two hosts of each region relay
 * the reports and the store's changes.
 * @param cpuCores The number of processor cores of the host, 0 if unknown.
 * @param cpuShare The share of each core that the host may use, 0 if unknown: then whole
 * cores count.
 * @param memoryMegabytes The memory of the host in megabytes, 0 if unknown.
 * @param bandwidthMegabits The bandwidth of the host's link in Mbit/s, 0 if unknown.
 */
public record GatewaySettings(String host, String dataCentre, String region, String regions,
		InetSocketAddress callerAddress, InetSocketAddress readinessAddress, InetSocketAddress directoryAddress,
		InetSocketAddress peerAddress, InetSocketAddress storeAddress, double storeMinimumLeaseSeconds,
		int maximumDescriptors, double graceSeconds, double maximumTtlSeconds, double retryRatio, double retrySlack,
		double coldOvershoot, double coldSlack, double departureSeconds, double configurationSeconds, int fullMeshHosts,
		double cpuCores, double cpuShare, double memoryMegabytes, double bandwidthMegabits) {

	/**
	 * The descriptors of all settings of this group.
	 */
	public static final List<Setting> DESCRIPTORS = List.of(
			new Setting("host", "MASTICLANE_HOST", "string", null, 0L, 0L, "The name of this entry host."),
			new Setting("data-centre", "MASTICLANE_DATA_CENTRE", "string", null, 0L, 0L,
					"The data centre in which this entry host is located."),
			new Setting("region", "MASTICLANE_REGION", "string", null, 0L, 0L, "The region of the data centre."),
			new Setting("regions", "MASTICLANE_REGIONS", "string", null, 0L, 0L,
					"Every data centre with its region, as DATA_CENTRE:REGION separated by commas."),
			new Setting("caller-address", "MASTICLANE_CALLER_ADDRESS", "address", null, 0L, 0L,
					"The address for callers."),
			new Setting("readiness-address", "MASTICLANE_READINESS_ADDRESS", "address", null, 0L, 0L,
					"The address for readiness checks and metrics."),
			new Setting("directory-address", "MASTICLANE_DIRECTORY_ADDRESS", "address", null, 0L, 0L,
					"The address for look-ups of entry hosts."),
			new Setting("peer-address", "MASTICLANE_PEER_ADDRESS", "address", null, 0L, 0L,
					"The address for other entry hosts."),
			new Setting("store-address", "MASTICLANE_STORE_ADDRESS", "address", null, 0L, 0L,
					"The address of the platform's store."),
			new Setting("store-minimum-lease-seconds", "MASTICLANE_STORE_MINIMUM_LEASE_SECONDS", "decimal", "1", 0L, 0L,
					"The shortest lease that the store grants, in seconds."),
			new Setting("maximum-descriptors", "MASTICLANE_MAXIMUM_DESCRIPTORS", "integer", "4096", 256L, 10000000L,
					"The number of file descriptors that the process may open; idle connections of callers are closed when callers hold more than half of them."),
			new Setting("grace-seconds", "MASTICLANE_GRACE_SECONDS", "decimal", "6", 0L, 0L,
					"The time in seconds from SIGTERM to SIGKILL."),
			new Setting("maximum-ttl-seconds", "MASTICLANE_MAXIMUM_TTL_SECONDS", "decimal", "5", 0L, 0L,
					"The longest time in seconds for which callers cache a look-up."),
			new Setting("retry-ratio", "MASTICLANE_RETRY_RATIO", "decimal", "0.2", 0L, 0L,
					"The fraction of the requests for a service that all entry hosts together may add as retries."),
			new Setting("retry-slack", "MASTICLANE_RETRY_SLACK", "decimal", "60", 0L, 0L,
					"The number of retries in a window that all entry hosts together may send in addition to the ratio."),
			new Setting("cold-overshoot", "MASTICLANE_COLD_OVERSHOOT", "decimal", "1.5", 0L, 0L,
					"The factor by which a cold backend server's rate may be exceeded."),
			new Setting("cold-slack", "MASTICLANE_COLD_SLACK", "decimal", "5", 0L, 0L,
					"The requests per second that a cold backend server may receive in addition to its rate multiplied by the overshoot."),
			new Setting("departure-seconds", "MASTICLANE_DEPARTURE_SECONDS", "decimal", "2.5", 0L, 0L,
					"The longest time in seconds for which a backend server may receive requests after its departure was recorded."),
			new Setting("configuration-seconds", "MASTICLANE_CONFIGURATION_SECONDS", "decimal", "2.5", 0L, 0L,
					"The longest time in seconds until a recorded configuration is in force."),
			new Setting("full-mesh-hosts", "MASTICLANE_FULL_MESH_HOSTS", "integer", "48", 1L, 10000L,
					"The largest number of entry hosts that all report to each other and follow the store by themselves; in a larger fleet two hosts of each region relay the reports and the store's changes."),
			new Setting("cpu-cores", "MASTICLANE_CPU_CORES", "decimal", "0", 0L, 0L,
					"The number of processor cores of the host, 0 if unknown."),
			new Setting("cpu-share", "MASTICLANE_CPU_SHARE", "decimal", "0", 0L, 0L,
					"The share of each core that the host may use, 0 if unknown: then whole cores count."),
			new Setting("memory-megabytes", "MASTICLANE_MEMORY_MEGABYTES", "decimal", "0", 0L, 0L,
					"The memory of the host in megabytes, 0 if unknown."),
			new Setting("bandwidth-megabits", "MASTICLANE_BANDWIDTH_MEGABITS", "decimal", "0", 0L, 0L,
					"The bandwidth of the host's link in Mbit/s, 0 if unknown."));

	/**
	 * Reads the settings from a source.
	 * @param source the source of values
	 * @return the validated settings
	 */
	public static GatewaySettings from(SettingSource source) {
		return new GatewaySettings(source.string("host"), source.string("data-centre"), source.string("region"),
				source.string("regions"), source.address("caller-address"), source.address("readiness-address"),
				source.address("directory-address"), source.address("peer-address"), source.address("store-address"),
				source.decimal("store-minimum-lease-seconds"), source.integer("maximum-descriptors"),
				source.decimal("grace-seconds"), source.decimal("maximum-ttl-seconds"), source.decimal("retry-ratio"),
				source.decimal("retry-slack"), source.decimal("cold-overshoot"), source.decimal("cold-slack"),
				source.decimal("departure-seconds"), source.decimal("configuration-seconds"),
				source.integer("full-mesh-hosts"), source.decimal("cpu-cores"), source.decimal("cpu-share"),
				source.decimal("memory-megabytes"), source.decimal("bandwidth-megabits"));
	}
}
