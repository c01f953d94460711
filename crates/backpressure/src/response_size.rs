//! Estimate of the size of the next response, by request class and by connection.

/// An estimate falls by this fraction of itself with each smaller response, and rises to a larger one at once.
const DECAY_DIVISOR: usize = 16;

/// Estimated response sizes, in bytes.
#[derive(Clone, Debug)]
pub struct ResponseSizes {
    /// Estimates by request class.
    classes: Vec<usize>,
    /// Bytes that every connection has without a reservation.
    unreserved: usize,
}

fn update_estimate(estimate: &mut usize, bytes: usize) {
    *estimate = bytes.max(*estimate - estimate.div_ceil(DECAY_DIVISOR));
}

impl ResponseSizes {
    /// Starts with estimates of 0; every connection has `unreserved` bytes without a reservation.
    pub fn new(classes: usize, unreserved: usize) -> ResponseSizes {
        ResponseSizes {
            classes: vec![0; classes],
            unreserved,
        }
    }

    /// Records a complete response of `bytes`; `own_estimate` is the estimate of its connection.
    pub fn record(&mut self, own_estimate: &mut Option<usize>, class: usize, bytes: usize) {
        update_estimate(&mut self.classes[class], bytes);
        update_estimate(own_estimate.get_or_insert(bytes), bytes);
    }

    /// Records an incomplete response that has taken `bytes` beyond the unreserved ones.
    pub fn record_partial(&mut self, class: usize, bytes: usize) {
        self.classes[class] = self.classes[class].max(bytes + self.unreserved);
    }

    /// Bytes to reserve for the next response: by the connection's own estimate, else by the class's.
    pub fn expected(&self, own_estimate: Option<usize>, class: usize) -> usize {
        own_estimate
            .unwrap_or(self.classes[class])
            .saturating_sub(self.unreserved)
    }
}
