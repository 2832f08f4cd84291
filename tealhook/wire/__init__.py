"""Wire formats: messages of users, workers, cloud, state service and mesh. No I/O here."""
