"""Code generated from ``thrift/peer.thrift``."""
