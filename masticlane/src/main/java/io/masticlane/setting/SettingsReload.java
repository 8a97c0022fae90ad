package io.masticlane.setting;

import java.io.IOException;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Reads a settings file again on request, and when its time of modification changed.
 */
public final class SettingsReload {

	/**
	 * The interval at which the modification time of the file is checked.
	 */
	private static final long POLL_INTERVAL_MILLIS = 1_000;

	private final Semaphore requests = new Semaphore(0);

	private final SettingsFile file;

	private final Consumer<GatewaySettings> accepted;

	private final BiConsumer<SettingsFile, String> rejected;

	private FileTime lastModified;

	private boolean missing;

	/**
	 * Creates a new reload of a file.
	 * @param file the settings file
	 * @param accepted receives the settings that were read
	 * @param rejected receives the reason why the settings were rejected
	 * @throws IOException if the file cannot be read
	 */
	public SettingsReload(SettingsFile file, Consumer<GatewaySettings> accepted,
			BiConsumer<SettingsFile, String> rejected) throws IOException {
		this.file = file;
		this.accepted = accepted;
		this.rejected = rejected;
		this.lastModified = file.lastModified();
	}

	/**
	 * Requests that the file is read again, even if it did not change.
	 */
	public void requestReload() {
		this.requests.release();
	}

	/**
	 * Watches the file for changes until the thread is interrupted.
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void watch() throws InterruptedException {
		while (true) {
			boolean requested = this.requests.tryAcquire(POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
			this.requests.drainPermits();
			readIfChanged(requested);
		}
	}

	void readIfChanged(boolean requested) {
		try {
			FileTime modified = this.file.lastModified();
			if (requested || !modified.equals(this.lastModified)) {
				this.lastModified = modified;
				this.accepted.accept(this.file.gateway());
			}
			this.missing = false;
		}
		catch (IOException ex) {
			if (requested || !this.missing) {
				this.rejected.accept(this.file, "cannot be read: " + ex.getMessage());
			}
			this.missing = true;
		}
		catch (SettingException ex) {
			this.rejected.accept(this.file, ex.getMessage());
		}
	}

}
