package io.masticlane.setting;

import java.io.IOException;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Reads a settings file again when told to, and when the file changed without being told.
 */
public final class SettingsReload {

	/**
	 * The interval at which the time of the file's last change is read.
	 */
	private static final long WATCH_MILLIS = 1_000;

	private final Semaphore asked = new Semaphore(0);

	private final SettingsFile file;

	private final Consumer<GatewaySettings> accepted;

	private final BiConsumer<SettingsFile, String> rejected;

	private FileTime changed;

	private boolean missing;

	/**
	 * Creates a reload.
	 * @param file the file
	 * @param accepted receives the settings that were read
	 * @param rejected receives the reason for which settings were rejected
	 * @throws IOException if the file cannot be read
	 */
	public SettingsReload(SettingsFile file, Consumer<GatewaySettings> accepted,
			BiConsumer<SettingsFile, String> rejected) throws IOException {
		this.file = file;
		this.accepted = accepted;
		this.rejected = rejected;
		this.changed = file.changed();
	}

	/**
	 * Asks for the file to be read again.
	 */
	public void ask() {
		this.asked.release();
	}

	/**
	 * Watches the file until the thread is interrupted.
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void watch() throws InterruptedException {
		while (true) {
			boolean told = this.asked.tryAcquire(WATCH_MILLIS, TimeUnit.MILLISECONDS);
			this.asked.drainPermits();
			check(told);
		}
	}

	void check(boolean told) {
		try {
			FileTime now = this.file.changed();
			if (told || !now.equals(this.changed)) {
				this.changed = now;
				this.accepted.accept(this.file.gateway());
			}
			this.missing = false;
		}
		catch (IOException ex) {
			if (told || !this.missing) {
				this.rejected.accept(this.file, "cannot be read: " + ex.getMessage());
			}
			this.missing = true;
		}
		catch (SettingException ex) {
			this.rejected.accept(this.file, ex.getMessage());
		}
	}

}
