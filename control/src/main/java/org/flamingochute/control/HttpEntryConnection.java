package org.flamingochute.control;

import io.activej.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.flamingochute.platform.HeaderField;
import org.flamingochute.platform.http.ConnectionReuse;
import org.flamingochute.platform.http.ExchangeClient;
import org.flamingochute.platform.http.ExchangeRequest;
import org.flamingochute.platform.http.ExchangeResult;
import org.flamingochute.platform.http.NumericAddress;

/** Calls an entry over HTTP and waits for the response. */
final class HttpEntryConnection implements EntryConnection {

  private static final String OPERATOR_HEADER = "Flamingochute-Operator";
  private static final String OPERATOR_KEY_HEADER = "Flamingochute-Operator-Key";
  private static final long TIMEOUT_MILLISECONDS = 10_000;
  private static final byte[] EMPTY_BODY = new byte[0];

  private final ExchangeClient client;
  private final NumericAddress address;
  private final List<HeaderField> headers = new ArrayList<>();

  HttpEntryConnection(
      ExchangeClient client, NumericAddress address, String operator, String operatorKey) {
    this.client = client;
    this.address = address;
    headers.add(new HeaderField(OPERATOR_HEADER, operator));
    headers.add(new HeaderField(OPERATOR_KEY_HEADER, operatorKey));
  }

  @Override
  public String address() {
    return address.text();
  }

  @Override
  public EntryCallResult get(String path) {
    return send(HttpMethod.GET, path, EMPTY_BODY);
  }

  @Override
  public EntryCallResult post(String path, String json) {
    return send(HttpMethod.POST, path, json.getBytes(StandardCharsets.UTF_8));
  }

  private EntryCallResult send(HttpMethod method, String path, byte[] body) {
    ExchangeRequest request =
        new ExchangeRequest(
            address,
            method,
            path,
            headers,
            body,
            TIMEOUT_MILLISECONDS,
            ConnectionReuse.NEVER,
            Optional.empty());
    return switch (client.send(request).join()) {
      case ExchangeResult.Answered answered ->
          new EntryCallResult.Answered(answered.status(), answered.body());
      case ExchangeResult.NotRun notRun -> new EntryCallResult.NotRun(notRun.detail());
      case ExchangeResult.Unknown unknown ->
          new EntryCallResult.Unknown(unknown.cause() + ": " + unknown.detail());
    };
  }
}
