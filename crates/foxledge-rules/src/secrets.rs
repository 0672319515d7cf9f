//! Parses secrets written as hex digits.

/// The minimum length of a secret, in bytes.
pub(crate) const MIN_SECRET_BYTES: usize = 16;

/// Parses a secret.
///
/// # Errors
///
/// Returns a description of the problem, which never contains the secret.
pub(crate) fn parse_secret(text: &str) -> Result<Vec<u8>, &'static str> {
    let secret = hex::decode(text).map_err(|_| "must be an even number of hex digits")?;
    if secret.len() < MIN_SECRET_BYTES {
        return Err("must be at least 16 bytes (32 hex digits)");
    }
    Ok(secret)
}
