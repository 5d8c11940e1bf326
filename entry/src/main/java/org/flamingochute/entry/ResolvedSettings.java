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
 * Settings with addresses parsed and files read, so that a process does not start with unusable
 * settings.
 *
 * @param settings the settings as read from the file
 * @param http HTTP address for callers and operators
 * @param peer address of the peer transport
 * @param log address of the platform log
 * @param list address of the instance list
 * @param pool address of the pool service
 * @param secret secret shared by all entries
 * @param tls TLS contexts of the peer transport
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

  /** Resolves settings, or returns the first error. */
  static Either<ErrorReport, ResolvedSettings> of(EntrySettings settings) {
    try {
      return Either.right(resolve(settings));
    } catch (UnusableSettingException e) {
      return Either.left(e.report());
    }
  }

  private static ResolvedSettings resolve(EntrySettings settings) throws UnusableSettingException {
    NumericAddress peer = localAddress(PEER, "address", settings.getPeer().getAddress());
    Optional<byte[]> secret = readSecret(settings.getPeer());
    if (secret.isEmpty() && !peer.socketAddress().getAddress().isLoopbackAddress()) {
      throw new UnusableSettingException(ErrorCode.PEER_SECRET_NEEDED, peer.text());
    }
    return new ResolvedSettings(
        settings,
        localAddress("entry", "http_address", settings.getEntry().getHttpAddress()),
        peer,
        remoteAddress("log_address", settings.getPlatform().getLogAddress()),
        remoteAddress("list_address", settings.getPlatform().getListAddress()),
        remoteAddress("pool_address", settings.getPlatform().getPoolAddress()),
        secret,
        readTls(settings.getPeer()));
  }

  private static NumericAddress localAddress(String section, String key, String text)
      throws UnusableSettingException {
    NumericAddress address = parseAddress(section, key, text);
    if (address.socketAddress().getAddress().isAnyLocalAddress()) {
      throw new UnusableSettingException(
          ErrorCode.ADDRESS_UNUSABLE,
          section,
          key,
          text,
          "is a wildcard address, which others cannot connect to");
    }
    return address;
  }

  private static NumericAddress remoteAddress(String key, String text)
      throws UnusableSettingException {
    NumericAddress address = parseAddress(PLATFORM, key, text);
    if (address.socketAddress().getPort() == 0) {
      throw new UnusableSettingException(
          ErrorCode.ADDRESS_UNUSABLE, PLATFORM, key, text, "port 0 cannot be connected to");
    }
    return address;
  }

  private static NumericAddress parseAddress(String section, String key, String text)
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

  private static Optional<byte[]> readSecret(PeerSection peer) throws UnusableSettingException {
    if (peer.getSecretFile().isEmpty()) {
      return Optional.empty();
    }
    byte[] content = readFile("secret_file", peer.getSecretFile());
    String text = new String(content, StandardCharsets.ISO_8859_1).strip();
    if (text.isEmpty()) {
      throw new UnusableSettingException(
          ErrorCode.FILE_UNREADABLE,
          PEER,
          "secret_file",
          peer.getSecretFile(),
          "the file is empty");
    }
    return Optional.of(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static Optional<PeerTls> readTls(PeerSection peer) throws UnusableSettingException {
    boolean allSet =
        !peer.getCertificateFile().isEmpty()
            && !peer.getPrivateKeyFile().isEmpty()
            && !peer.getTrustedCertificateFile().isEmpty();
    boolean noneSet =
        peer.getCertificateFile().isEmpty()
            && peer.getPrivateKeyFile().isEmpty()
            && peer.getTrustedCertificateFile().isEmpty();
    if (noneSet) {
      return Optional.empty();
    }
    if (!allSet) {
      throw new UnusableSettingException(
          ErrorCode.TLS_UNUSABLE,
          "certificate_file, private_key_file and trusted_certificate_file must be set together");
    }
    try {
      return Optional.of(
          PeerTls.of(
              readFile("certificate_file", peer.getCertificateFile()),
              readFile("private_key_file", peer.getPrivateKeyFile()),
              readFile("trusted_certificate_file", peer.getTrustedCertificateFile())));
    } catch (SSLException e) {
      throw new UnusableSettingException(ErrorCode.TLS_UNUSABLE, e.getMessage());
    }
  }

  private static byte[] readFile(String key, String name) throws UnusableSettingException {
    try {
      return Files.readAllBytes(Path.of(name));
    } catch (IOException | InvalidPathException e) {
      throw new UnusableSettingException(ErrorCode.FILE_UNREADABLE, PEER, key, name, e.toString());
    }
  }

  /** Reports an unusable setting. */
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
