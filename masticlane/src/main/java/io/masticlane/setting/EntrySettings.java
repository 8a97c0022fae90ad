package io.masticlane.setting;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The settings of the entry daemon.
 *
 * @param host The configured name of this entry host.
 * @param dataCentre The data centre in which this entry host is located.
 * @param callerAddress The address for callers.
 * @param peerAddress The address for other entry hosts.
 * @param operatorAddress The address for operators: metrics, health and status.
 * @param storeAddress The address of the platform's key-value store.
 * @param storePrefix The prefix of every key in the store.
 * @param peers The peer addresses to ask for a configuration at start, separated by
 * commas.
 * @param storeTimeoutMillis The timeout of a call to the store.
 * @param heartbeatMillis The interval between heartbeats to a peer.
 * @param silenceMillis The time without a received message after which a connection to a
 * peer is treated as lost.
 * @param staleMillis The time without contact with either the store or a majority of
 * entry hosts after which keyed requests are refused.
 * @param drainMillis The longest duration of a planned stop, including the wait for
 * requests in flight.
 * @param lookUpTtlMillis The time to live of a look-up's response.
 * @param maximumBodyBytes The maximum size of a forwarded request body.
 */
public record EntrySettings(String host, String dataCentre, InetSocketAddress callerAddress,
		InetSocketAddress peerAddress, InetSocketAddress operatorAddress, InetSocketAddress storeAddress,
		String storePrefix, List<InetSocketAddress> peers, int storeTimeoutMillis, int heartbeatMillis,
		int silenceMillis, int staleMillis, int drainMillis, int lookUpTtlMillis, int maximumBodyBytes) {

	/**
	 * The descriptors of all settings of this group.
	 */
	public static final List<Setting> DESCRIPTORS = List.of(
			new Setting("host", "MASTICLANE_HOST", "string", null, 0L, 0L, "The configured name of this entry host."),
			new Setting("data-centre", "MASTICLANE_DATA_CENTRE", "string", null, 0L, 0L,
					"The data centre in which this entry host is located."),
			new Setting("caller-address", "MASTICLANE_CALLER_ADDRESS", "address", null, 0L, 0L,
					"The address for callers."),
			new Setting("peer-address", "MASTICLANE_PEER_ADDRESS", "address", null, 0L, 0L,
					"The address for other entry hosts."),
			new Setting("operator-address", "MASTICLANE_OPERATOR_ADDRESS", "address", null, 0L, 0L,
					"The address for operators: metrics, health and status."),
			new Setting("store-address", "MASTICLANE_STORE_ADDRESS", "address", null, 0L, 0L,
					"The address of the platform's key-value store."),
			new Setting("store-prefix", "MASTICLANE_STORE_PREFIX", "string", "masticlane/", 0L, 0L,
					"The prefix of every key in the store."),
			new Setting("peers", "MASTICLANE_PEERS", "addresses", "", 0L, 0L,
					"The peer addresses to ask for a configuration at start, separated by commas."),
			new Setting("store-timeout-millis", "MASTICLANE_STORE_TIMEOUT_MILLIS", "integer", "1000", 50L, 60000L,
					"The timeout of a call to the store."),
			new Setting("heartbeat-millis", "MASTICLANE_HEARTBEAT_MILLIS", "integer", "500", 50L, 10000L,
					"The interval between heartbeats to a peer."),
			new Setting("silence-millis", "MASTICLANE_SILENCE_MILLIS", "integer", "2500", 200L, 60000L,
					"The time without a received message after which a connection to a peer is treated as lost."),
			new Setting("stale-millis", "MASTICLANE_STALE_MILLIS", "integer", "5000", 1000L, 86400000L,
					"The time without contact with either the store or a majority of entry hosts after which keyed requests are refused."),
			new Setting("drain-millis", "MASTICLANE_DRAIN_MILLIS", "integer", "15000", 0L, 600000L,
					"The longest duration of a planned stop, including the wait for requests in flight."),
			new Setting("look-up-ttl-millis", "MASTICLANE_LOOK_UP_TTL_MILLIS", "integer", "5000", 100L, 600000L,
					"The time to live of a look-up's response."),
			new Setting("maximum-body-bytes", "MASTICLANE_MAXIMUM_BODY_BYTES", "integer", "1048576", 1024L, 16777216L,
					"The maximum size of a forwarded request body."));

	/**
	 * Reads the settings from a source.
	 * @param source the source of values
	 * @return the validated settings
	 */
	public static EntrySettings from(SettingSource source) {
		return new EntrySettings(source.string("host"), source.string("data-centre"), source.address("caller-address"),
				source.address("peer-address"), source.address("operator-address"), source.address("store-address"),
				source.string("store-prefix"), source.addresses("peers"), source.integer("store-timeout-millis"),
				source.integer("heartbeat-millis"), source.integer("silence-millis"), source.integer("stale-millis"),
				source.integer("drain-millis"), source.integer("look-up-ttl-millis"),
				source.integer("maximum-body-bytes"));
	}
}
