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
 * The rendered answers to look-ups: for each region the entry hosts in the order in which
 * its callers should use them.
 */
public final class EntryHostDirectory implements LookUps {

	private final RoutingTable table;

	private final List<ResponsiveHost> hosts;

	private final byte[] fallback;

	private final Map<String, byte[]> answers;

	private EntryHostDirectory(RoutingTable table, List<ResponsiveHost> hosts, byte[] fallback,
			Map<String, byte[]> answers) {
		this.table = table;
		this.hosts = hosts;
		this.fallback = fallback;
		this.answers = answers;
	}

	/**
	 * Creates a new directory.
	 * @param table the routing table in force
	 * @param hosts the entry hosts that are heard
	 * @param localRegion the region of callers whose block is not known
	 * @param ttlMillis the time to live of an answer
	 * @return the directory
	 */
	public static EntryHostDirectory of(RoutingTable table, List<ResponsiveHost> hosts, String localRegion,
			long ttlMillis) {
		Set<String> names = table.configuration().regions().stream().map(Region::name).collect(Collectors.toSet());
		Map<String, byte[]> answers = names.stream()
			.collect(Collectors.toUnmodifiableMap(Function.identity(),
					(region) -> render(table, hosts, region, ttlMillis)));
		return new EntryHostDirectory(table, hosts, render(table, hosts, localRegion, ttlMillis), answers);
	}

	/**
	 * Tells whether this directory was rendered from the given state.
	 * @param table the routing table in force
	 * @param hosts the entry hosts that are heard
	 * @return whether rendering again would give the same answers
	 */
	public boolean isRenderedFrom(RoutingTable table, List<ResponsiveHost> hosts) {
		return this.table == table && this.hosts.equals(hosts);
	}

	/**
	 * Lists the configured entry hosts that are heard.
	 * @param configuration the configuration in force
	 * @param self this entry host
	 * @param members the members that are heard
	 * @return the entry hosts that are heard
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
		return this.answers.getOrDefault(this.table.clientBlocks().region(client), this.fallback);
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

	private static String entry(EntryHost configured, ResponsiveHost heard, RoutingTable table) {
		return "{\"name\":\"" + heard.host() + "\",\"address\":\"" + configured.callerAddress() + "\",\"region\":\""
				+ table.region(configured.dataCentre()) + "\",\"incarnation\":\"" + heard.incarnation()
				+ "\",\"operationPrefix\":\"" + Operation.prefix(heard.incarnation(), heard.epoch()) + "\",\"leaving\":"
				+ heard.leaving() + "}";
	}

	/**
	 * An entry host that is heard.
	 *
	 * @param host the name of the entry host
	 * @param incarnation the identifier of its process
	 * @param load the requests in flight
	 * @param leaving whether it is shutting down
	 * @param epoch the epoch in which operations that it owns begin
	 */
	public record ResponsiveHost(String host, String incarnation, double load, boolean leaving, long epoch) {
	}

}
