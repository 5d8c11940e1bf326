package org.flamingochute.entry.http;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.flamingochute.engine.EntryNode;

/** Reference to the entry node, which is created only after the HTTP port is bound. */
public final class NodeReference {
  private final AtomicReference<EntryNode> node = new AtomicReference<>();

  /** Sets the node; called once. */
  public void set(EntryNode value) {
    node.set(value);
  }

  /** Returns the node, or empty while the process is starting. */
  public Optional<EntryNode> get() {
    return Optional.ofNullable(node.get());
  }
}
