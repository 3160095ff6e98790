//! Answer bodies that identify their request and show whether they are complete.

/// The body of the answer to request `id`, of exactly `length` bytes.
pub fn body(id: &str, length: usize) -> Vec<u8> {
    let unit = format!("{id};");
    unit.bytes().cycle().take(length).collect()
}

/// Whether `bytes` is the complete answer of `length` bytes to request `id`.
pub fn is_complete(id: &str, length: usize, bytes: &[u8]) -> bool {
    bytes == body(id, length)
}
