//! Owns what the answers of each command group have taken so far, to tell what the next one will want.
//!
//! It must never be read for what an answer is allowed.

/// So much of the estimate is forgotten with each answer that is shorter: one long answer among hundreds of
/// short ones does not count for long, one among ten does.
const FORGETS: usize = 16;

#[derive(Clone, Debug)]
pub struct Sizes {
    /// A row a command group: bytes.
    likely: Vec<usize>,
    /// What is not counted: every connection has that without a claim.
    free: usize,
}

impl Sizes {
    pub fn new(groups: usize, free: usize) -> Sizes {
        Sizes { likely: vec![0; groups], free }
    }

    pub fn saw(&mut self, group: usize, bytes: usize) {
        let likely = &mut self.likely[group];
        *likely = bytes.max(*likely - likely.div_ceil(FORGETS).min(*likely));
    }

    /// Bytes that the next answer will likely claim.
    pub fn likely(&self, group: usize) -> usize {
        self.likely[group].saturating_sub(self.free)
    }
}
