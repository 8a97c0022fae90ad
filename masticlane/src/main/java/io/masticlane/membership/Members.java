package io.masticlane.membership;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import io.masticlane.message.Message;
import io.masticlane.peer.Peer;

/**
 * The other entry hosts and the state that each last reported; used on the decisions
 * thread only.
 */
public final class Members {

	private final long timeoutNanos;

	private final TreeMap<String, Member> members = new TreeMap<>();

	/**
	 * Creates a new instance without members.
	 * @param timeoutMillis the time without a heartbeat after which a member counts as
	 * unresponsive
	 */
	public Members(long timeoutMillis) {
		this.timeoutNanos = TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
	}

	/**
	 * Records a heartbeat.
	 * @param peer the sender
	 * @param heartbeat the heartbeat
	 * @param now the current time in nanoseconds
	 * @return whether the sender's process was unknown until now
	 */
	public boolean receive(Peer peer, Message.Heartbeat heartbeat, long now) {
		Member previous = this.members.put(peer.host(), new Member(peer.host(), peer.incarnation(), heartbeat, now));
		return previous == null || !previous.incarnation().equals(peer.incarnation());
	}

	/**
	 * Removes a process after the loss of the last connection to it.
	 * @param peer the process
	 */
	public void connectionLost(Peer peer) {
		this.members.computeIfPresent(peer.host(),
				(host, member) -> member.incarnation().equals(peer.incarnation()) ? null : member);
	}

	/**
	 * Returns the member on an entry host, if it is responsive.
	 * @param host the name of the entry host
	 * @param now the current time in nanoseconds
	 * @return the member, or nothing
	 */
	public Optional<Member> member(String host, long now) {
		return Optional.ofNullable(this.members.get(host))
			.filter((member) -> now - member.receivedAt() < this.timeoutNanos);
	}

	/**
	 * Returns the entry host of a process, if the process is responsive.
	 * @param incarnation the identifier of the process
	 * @param now the current time in nanoseconds
	 * @return the name of the entry host, or nothing
	 */
	public Optional<String> host(String incarnation, long now) {
		return responsiveMembers(now).stream()
			.filter((member) -> member.incarnation().equals(incarnation))
			.map(Member::host)
			.findFirst();
	}

	/**
	 * Returns the responsive members in the order of their names.
	 * @param now the current time in nanoseconds
	 * @return the responsive members
	 */
	public List<Member> responsiveMembers(long now) {
		return this.members.values()
			.stream()
			.filter((member) -> now - member.receivedAt() < this.timeoutNanos)
			.toList();
	}

}
