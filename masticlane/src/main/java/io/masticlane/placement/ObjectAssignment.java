package io.masticlane.placement;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Rendezvous hashing with bounded loads: an object is assigned to the first server of its
 * ranking whose number of objects is below a bound, a multiple of the equal share. It is
 * reassigned only when its server leaves, or when a higher-ranked server holds few
 * objects, so that a new server receives its share.
 */
final class ObjectAssignment {

	/**
	 * The number of objects that a server may hold, as a multiple of the equal share.
	 */
	private static final double LOAD_BOUND = 1.5;

	/**
	 * The fraction of the equal share below which a server takes over objects that rank
	 * it higher than their current server.
	 */
	private static final double TAKEOVER_FRACTION = 0.6;

	/**
	 * The period after its last request in which an object counts as held by its server.
	 */
	private static final long ACTIVE_NANOS = TimeUnit.SECONDS.toNanos(20);

	private final LinkedHashMap<Long, Assignment> objects = new LinkedHashMap<>(16, 0.75f, true);

	private final Map<Long, Integer> counts = new HashMap<>();

	/**
	 * Assigns an object to a server.
	 * @param object the hash of the object
	 * @param ranked the servers in the object's ranking order, at least one
	 * @param now the current time in nanoseconds
	 * @return the index of the assigned server in the ranking
	 */
	int assign(long object, List<ServerState> ranked, long now) {
		removeInactive(now);
		Assignment previous = this.objects.remove(object);
		if (previous != null) {
			addToCount(previous.server(), -1);
		}
		double equalShare = (this.objects.size() + 1) / (double) ranked.size();
		boolean serverRemains = previous != null
				&& ranked.stream().anyMatch((each) -> each.hash() == previous.server());
		double capacity = Math.ceil(equalShare * (serverRemains ? TAKEOVER_FRACTION : LOAD_BOUND));
		int index = 0;
		while (index < ranked.size() - 1 && this.counts.getOrDefault(ranked.get(index).hash(), 0) >= capacity
				&& !(serverRemains && previous.server() == ranked.get(index).hash())) {
			index++;
		}
		long server = ranked.get(index).hash();
		this.objects.put(object, new Assignment(server, now));
		addToCount(server, 1);
		return index;
	}

	private void removeInactive(long now) {
		Iterator<Assignment> oldest = this.objects.values().iterator();
		while (oldest.hasNext()) {
			Assignment each = oldest.next();
			if (now - each.requestedAt() < ACTIVE_NANOS) {
				return;
			}
			addToCount(each.server(), -1);
			oldest.remove();
		}
	}

	private void addToCount(long server, int change) {
		this.counts.merge(server, change, (objects, delta) -> (objects + delta != 0) ? objects + delta : null);
	}

	private record Assignment(long server, long requestedAt) {
	}

}
