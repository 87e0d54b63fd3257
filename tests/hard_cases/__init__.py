"""Hard cases of the running path, each caused over sockets."""
