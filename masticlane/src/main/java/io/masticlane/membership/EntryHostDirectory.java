package io.masticlane.membership;

import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.masticlane.caller.LookUps;
import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.EntryHost;
import io.masticlane.configuration.Region;
import io.masticlane.operation.Operation;
import io.masticlane.route.RoutingTable;

/**
 * The rendered responses to look-ups: for each region the entry hosts in the order in
 * which callers of the region should use them.
 */
public final class EntryHostDirectory implements LookUps {

	private final RoutingTable table;

	private final List<ResponsiveHost> hosts;

	private final byte[] defaultResponse;

	private final Map<String, byte[]> responses;

	private EntryHostDirectory(RoutingTable table, List<ResponsiveHost> hosts, byte[] defaultResponse,
			Map<String, byte[]> responses) {
		this.table = table;
		this.hosts = hosts;
		this.defaultResponse = defaultResponse;
		this.responses = responses;
	}

	/**
	 * Creates a new directory.
	 * @param table the current routing table
	 * @param hosts the responsive entry hosts
	 * @param localRegion the region of callers in no configured client block
	 * @param ttlMillis the time to live of a response
	 * @return the directory
	 */
	public static EntryHostDirectory of(RoutingTable table, List<ResponsiveHost> hosts, String localRegion,
			long ttlMillis) {
		Set<String> names = table.configuration().regions().stream().map(Region::name).collect(Collectors.toSet());
		Map<String, byte[]> responses = names.stream()
			.collect(Collectors.toUnmodifiableMap(Function.identity(),
					(region) -> render(table, hosts, region, ttlMillis)));
		return new EntryHostDirectory(table, hosts, render(table, hosts, localRegion, ttlMillis), responses);
	}

	/**
	 * Returns whether this directory was rendered from the given state.
	 * @param table the current routing table
	 * @param hosts the responsive entry hosts
	 * @return whether rendering again would produce the same responses
	 */
	public boolean isRenderedFrom(RoutingTable table, List<ResponsiveHost> hosts) {
		return this.table == table && this.hosts.equals(hosts);
	}

	/**
	 * Returns the configured entry hosts that are responsive.
	 * @param configuration the current configuration
	 * @param self this entry host
	 * @param members the responsive members
	 * @return the responsive entry hosts, including this one
	 */
	public static List<ResponsiveHost> responsiveHosts(Configuration configuration, ResponsiveHost self,
			List<Member> members) {
		Map<String, Member> byName = members.stream().collect(Collectors.toMap(Member::host, Function.identity()));
		return configuration.entryHosts()
			.stream()
			.filter((host) -> byName.containsKey(host.name()) || host.name().equals(self.host()))
			.map((host) -> {
				Member member = byName.get(host.name());
				return host.name().equals(self.host()) ? self : new ResponsiveHost(host.name(), member.incarnation(),
						member.heartbeat().load(), member.heartbeat().leaving(), member.heartbeat().epoch());
			})
			.toList();
	}

	@Override
	public byte[] response(InetAddress client) {
		return this.responses.getOrDefault(this.table.clientBlocks().region(client), this.defaultResponse);
	}

	private static byte[] render(RoutingTable table, List<ResponsiveHost> hosts, String region, long ttlMillis) {
		Map<String, EntryHost> configured = table.configuration()
			.entryHosts()
			.stream()
			.collect(Collectors.toMap(EntryHost::name, Function.identity()));
		Comparator<ResponsiveHost> order = Comparator.comparing(ResponsiveHost::leaving)
			.thenComparing(
					(host) -> table.roundTripMillis(region, table.region(configured.get(host.host()).dataCentre())))
			.thenComparing(ResponsiveHost::load)
			.thenComparing(ResponsiveHost::host);
		boolean allLeaving = hosts.stream().allMatch(ResponsiveHost::leaving);
		String list = hosts.stream()
			.filter((host) -> allLeaving || !host.leaving())
			.sorted(order)
			.map((host) -> entry(configured.get(host.host()), host, table))
			.collect(Collectors.joining(","));
		return ("{\"revision\":" + table.revision() + ",\"ttlMillis\":" + ttlMillis + ",\"entryHosts\":[" + list
				+ "]}\n")
			.getBytes(StandardCharsets.UTF_8);
	}

	private static String entry(EntryHost configured, ResponsiveHost host, RoutingTable table) {
		return "{\"name\":\"" + host.host() + "\",\"address\":\"" + configured.callerAddress() + "\",\"region\":\""
				+ table.region(configured.dataCentre()) + "\",\"incarnation\":\"" + host.incarnation()
				+ "\",\"operationPrefix\":\"" + Operation.prefix(host.incarnation(), host.epoch()) + "\",\"leaving\":"
				+ host.leaving() + "}";
	}

	/**
	 * An entry host from which heartbeats are being received.
	 *
	 * @param host the name of the entry host
	 * @param incarnation the identifier of its process
	 * @param load the requests in flight
	 * @param leaving whether it is shutting down
	 * @param epoch the epoch in which operations that it owns start
	 */
	public record ResponsiveHost(String host, String incarnation, double load, boolean leaving, long epoch) {
	}

}
