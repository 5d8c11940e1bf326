package org.flamingochute.entry;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Optional;
import javax.net.ssl.SSLException;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.entry.peer.PeerTls;
import org.flamingochute.platform.http.NumericAddress;
import org.flamingochute.schema.EntrySettings;
import org.flamingochute.schema.PeerSection;

/**
 * Settings with addresses parsed and files read, so that a process with settings that cannot work
 * does not start.
 *
 * @param settings the settings as read
 * @param http address for callers and operators
 * @param peer address for other entries
 * @param log address of the log
 * @param list address of the instance list
 * @param pool address of the pool service
 * @param secret secret of the entries
 * @param tls certificates of the entries
 */
record ResolvedSettings(
    EntrySettings settings,
    NumericAddress http,
    NumericAddress peer,
    NumericAddress log,
    NumericAddress list,
    NumericAddress pool,
    Optional<byte[]> secret,
    Optional<PeerTls> tls) {
  private static final String PEER = "peer";
  private static final String PLATFORM = "platform";

  /** Resolves settings, or returns the first problem. */
  static Either<ErrorReport, ResolvedSettings> of(EntrySettings settings) {
    try {
      return Either.right(resolve(settings));
    } catch (UnusableSettingException e) {
      return Either.left(e.report());
    }
  }

  private static ResolvedSettings resolve(EntrySettings settings) throws UnusableSettingException {
    NumericAddress peer = own(PEER, "address", settings.getPeer().getAddress());
    Optional<byte[]> secret = secret(settings.getPeer());
    if (secret.isEmpty() && !peer.socketAddress().getAddress().isLoopbackAddress()) {
      throw new UnusableSettingException(ErrorCode.PEER_SECRET_NEEDED, peer.text());
    }
    return new ResolvedSettings(
        settings,
        own("entry", "http_address", settings.getEntry().getHttpAddress()),
        peer,
        remote("log_address", settings.getPlatform().getLogAddress()),
        remote("list_address", settings.getPlatform().getListAddress()),
        remote("pool_address", settings.getPlatform().getPoolAddress()),
        secret,
        tls(settings.getPeer()));
  }

  private static NumericAddress own(String section, String key, String text)
      throws UnusableSettingException {
    NumericAddress address = address(section, key, text);
    if (address.socketAddress().getAddress().isAnyLocalAddress()) {
      throw new UnusableSettingException(
          ErrorCode.ADDRESS_UNUSABLE, section, key, text, "others cannot reach this address");
    }
    return address;
  }

  private static NumericAddress remote(String key, String text) throws UnusableSettingException {
    NumericAddress address = address(PLATFORM, key, text);
    if (address.socketAddress().getPort() == 0) {
      throw new UnusableSettingException(
          ErrorCode.ADDRESS_UNUSABLE, PLATFORM, key, text, "port 0 cannot be reached");
    }
    return address;
  }

  private static NumericAddress address(String section, String key, String text)
      throws UnusableSettingException {
    return NumericAddress.parse(text)
        .orElseThrow(
            () ->
                new UnusableSettingException(
                    ErrorCode.ADDRESS_UNUSABLE,
                    section,
                    key,
                    text,
                    "is not an IP address and port"));
  }

  private static Optional<byte[]> secret(PeerSection peer) throws UnusableSettingException {
    if (peer.getSecretFile().isEmpty()) {
      return Optional.empty();
    }
    byte[] content = file("secret_file", peer.getSecretFile());
    String text = new String(content, StandardCharsets.ISO_8859_1).strip();
    if (text.isEmpty()) {
      throw new UnusableSettingException(
          ErrorCode.FILE_UNREADABLE, PEER, "secret_file", peer.getSecretFile(), "it is empty");
    }
    return Optional.of(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static Optional<PeerTls> tls(PeerSection peer) throws UnusableSettingException {
    boolean all =
        !peer.getCertificateFile().isEmpty()
            && !peer.getPrivateKeyFile().isEmpty()
            && !peer.getTrustedCertificateFile().isEmpty();
    boolean none =
        peer.getCertificateFile().isEmpty()
            && peer.getPrivateKeyFile().isEmpty()
            && peer.getTrustedCertificateFile().isEmpty();
    if (none) {
      return Optional.empty();
    }
    if (!all) {
      throw new UnusableSettingException(
          ErrorCode.TLS_UNUSABLE,
          "certificate_file, private_key_file and trusted_certificate_file go together");
    }
    try {
      return Optional.of(
          PeerTls.of(
              file("certificate_file", peer.getCertificateFile()),
              file("private_key_file", peer.getPrivateKeyFile()),
              file("trusted_certificate_file", peer.getTrustedCertificateFile())));
    } catch (SSLException e) {
      throw new UnusableSettingException(ErrorCode.TLS_UNUSABLE, e.getMessage());
    }
  }

  private static byte[] file(String key, String name) throws UnusableSettingException {
    try {
      return Files.readAllBytes(Path.of(name));
    } catch (IOException | InvalidPathException e) {
      throw new UnusableSettingException(ErrorCode.FILE_UNREADABLE, PEER, key, name, e.toString());
    }
  }

  /** Carries the report of a setting that cannot be used. */
  private static final class UnusableSettingException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient ErrorReport report;

    UnusableSettingException(ErrorCode code, Object... arguments) {
      super(code.name());
      this.report = ErrorReport.of(code, arguments);
    }

    ErrorReport report() {
      return report;
    }
  }
}
