package org.flamingochute.entry.peer;

import io.netty.handler.codec.DecoderException;

/** Thrown for a frame that violates the protocol; its connection is closed. */
final class MalformedFrameException extends DecoderException {
  private static final long serialVersionUID = 1L;

  MalformedFrameException(String message) {
    super(message);
  }
}
