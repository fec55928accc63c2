//! Services between hosts (tarpc) and towards operators (jsonrpsee).
