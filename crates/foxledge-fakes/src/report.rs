//! Reports that callers and backend servers write.
