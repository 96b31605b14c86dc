"""Wire forms in which an agent reaches its backend server; see `backend`."""
