package io.masticlane.placement;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Rendezvous hashing with bounded loads: an object belongs to the first server of its
 * ranking that does not hold its even part of the objects and some more already. It moves
 * only when its server leaves, or when a server that ranks higher holds few, so that a
 * new server gets its part.
 */
final class ObjectAssignment {

	/**
	 * How much more than the even part of the objects a server may hold.
	 */
	private static final double BOUND = 1.5;

	/**
	 * The part of its even number of objects below which a server draws back objects that
	 * rank it higher.
	 */
	private static final double ROOM = 0.6;

	/**
	 * How long an object counts after its last request, in nanoseconds.
	 */
	private static final long ACTIVE_NANOS = TimeUnit.SECONDS.toNanos(20);

	private final LinkedHashMap<Long, Held> objects = new LinkedHashMap<>(16, 0.75f, true);

	private final Map<Long, Integer> counts = new HashMap<>();

	/**
	 * Returns the place in the ranking of the server that an object belongs to.
	 * @param object the hash of the object
	 * @param ranked the servers of the object's ranking
	 * @param now the present in nanoseconds
	 * @return the index of the server
	 */
	int assign(long object, List<ServerState> ranked, long now) {
		forget(now);
		Held held = this.objects.remove(object);
		if (held != null) {
			count(held.server(), -1);
		}
		double even = (this.objects.size() + 1) / (double) ranked.size();
		boolean kept = held != null && ranked.stream().anyMatch((each) -> each.hash() == held.server());
		double room = Math.ceil(even * (kept ? ROOM : BOUND));
		int place = 0;
		while (place < ranked.size() - 1 && this.counts.getOrDefault(ranked.get(place).hash(), 0) >= room
				&& !(kept && held.server() == ranked.get(place).hash())) {
			place++;
		}
		long server = ranked.get(place).hash();
		this.objects.put(object, new Held(server, now));
		count(server, 1);
		return place;
	}

	private void forget(long now) {
		Iterator<Held> oldest = this.objects.values().iterator();
		while (oldest.hasNext()) {
			Held each = oldest.next();
			if (now - each.at() < ACTIVE_NANOS) {
				return;
			}
			count(each.server(), -1);
			oldest.remove();
		}
	}

	private void count(long server, int change) {
		this.counts.merge(server, change, (former, added) -> (former + added != 0) ? former + added : null);
	}

	private record Held(long server, long at) {
	}

}
