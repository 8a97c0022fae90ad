package io.masticlane.membership;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import io.masticlane.message.Message;
import io.masticlane.peer.Peer;

/**
 * The other entry hosts and what each last told; used on the decisions' thread alone.
 */
public final class Members {

	private final long silenceNanos;

	private final TreeMap<String, Member> members = new TreeMap<>();

	/**
	 * Creates new members.
	 * @param silenceMillis the silence after which a member is not heard any more
	 */
	public Members(long silenceMillis) {
		this.silenceNanos = TimeUnit.MILLISECONDS.toNanos(silenceMillis);
	}

	/**
	 * Receives a heartbeat.
	 * @param peer the sender
	 * @param heartbeat the heartbeat
	 * @param now the present in nanoseconds
	 * @return whether the process of the sender was not heard before
	 */
	public boolean receive(Peer peer, Message.Heartbeat heartbeat, long now) {
		Member former = this.members.put(peer.host(), new Member(peer.host(), peer.incarnation(), heartbeat, now));
		return former == null || !former.incarnation().equals(peer.incarnation());
	}

	/**
	 * Receives the loss of the last connection to a process.
	 * @param peer the process
	 */
	public void connectionLost(Peer peer) {
		this.members.computeIfPresent(peer.host(),
				(host, member) -> member.incarnation().equals(peer.incarnation()) ? null : member);
	}

	/**
	 * Returns the member on an entry host, if it is heard.
	 * @param host the name of the entry host
	 * @param now the present in nanoseconds
	 * @return the member, or nothing
	 */
	public Optional<Member> member(String host, long now) {
		return Optional.ofNullable(this.members.get(host))
			.filter((member) -> now - member.receivedAt() < this.silenceNanos);
	}

	/**
	 * Returns the entry host of a process, if the process is heard.
	 * @param incarnation the identifier of the process
	 * @param now the present in nanoseconds
	 * @return the name of the entry host, or nothing
	 */
	public Optional<String> host(String incarnation, long now) {
		return responsiveMembers(now).stream()
			.filter((member) -> member.incarnation().equals(incarnation))
			.map(Member::host)
			.findFirst();
	}

	/**
	 * Returns the members that are heard, by name.
	 * @param now the present in nanoseconds
	 * @return the members that are heard
	 */
	public List<Member> responsiveMembers(long now) {
		return this.members.values()
			.stream()
			.filter((member) -> now - member.receivedAt() < this.silenceNanos)
			.toList();
	}

}
