package io.masticlane.gateway;

import java.util.Optional;

import io.masticlane.memory.DownloadMemory;
import io.masticlane.memory.Reservation;
import io.masticlane.memory.SizeEstimator;

/**
 * The memory for the body of one request's response, which all attempts of the request
 * share. It is reserved if the request is a download.
 */
final class DownloadBody {

	private final Optional<SizeEstimator> sizes;

	private final String organisation;

	private Optional<Reservation> reservation = Optional.empty();

	/**
	 * Creates a body without a reservation.
	 * @param sizes the sizes of recent responses, or empty if nothing is reserved
	 * @param organisation the organisation of the caller
	 */
	DownloadBody(Optional<SizeEstimator> sizes, String organisation) {
		this.sizes = sizes;
		this.organisation = organisation;
	}

	/**
	 * Reserves memory unless that was done before an earlier attempt or is not needed.
	 * @param memory the memory of downloads
	 * @return whether the request may be sent
	 */
	boolean reserve(DownloadMemory memory) {
		if (this.sizes.isPresent() && this.reservation.isEmpty()) {
			this.reservation = memory.reserve(this.organisation, estimateBytes());
			return this.reservation.isPresent();
		}
		return true;
	}

	long estimateBytes() {
		return this.sizes.map(SizeEstimator::estimateBytes).orElse(0L);
	}

	/**
	 * Returns the reservation for the attempts of the request.
	 * @return the reservation, or empty if nothing is reserved
	 */
	Optional<Reservation> reservation() {
		return this.reservation;
	}

	/**
	 * Releases at the end of the request what its response does not occupy.
	 * @param served whether the request has a successful response
	 */
	void release(boolean served) {
		this.reservation.ifPresent((each) -> {
			if (served) {
				this.sizes.ifPresent((recent) -> recent.record(each.usedBytes()));
			}
			each.close();
		});
	}

}
