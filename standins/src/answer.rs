//! Answers whose body proves whose they are and that they are whole.

/// The body of the answer to request `id`, of exactly `length` bytes.
pub fn body(id: &str, length: usize) -> Vec<u8> {
    let seed = format!("{id};");
    seed.bytes().cycle().take(length).collect()
}

/// Whether `bytes` is the whole answer of `length` bytes to request `id`.
pub fn is_whole(id: &str, length: usize, bytes: &[u8]) -> bool {
    bytes == body(id, length)
}
