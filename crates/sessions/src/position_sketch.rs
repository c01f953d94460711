//! Count-min-like sketch of session positions that are no longer known exactly.
//!
//! It is divided into slices by the time of the position. Each cell of a slice holds the highest position in it of all
//! sessions that hash to the cell.
//!
//! # Invariants
//!
//! The upper bound of a session is never less than what was recorded for it: a collision only raises it.

use std::collections::VecDeque;

use crate::Ticks;

/// Number of hash rows; the lowest of a session's cells is the closest bound.
const ROWS: usize = 2;
/// Cell of a slice: the offset of a position from the slice's start, in ticks, plus 1; 0 if empty. An offset fits into
/// four bytes.
type Cell = u32;

/// Positions within one span of time.
struct Slice {
    start: Ticks,
    cells: Vec<Cell>,
    highest: Ticks,
}

/// Upper bounds of session positions, in memory bounded by the number of slices.
pub struct PositionSketch {
    slices: VecDeque<Slice>,
    width: usize,
    max_slices: usize,
    slice_span: Ticks,
    /// Highest position in all dropped slices; the bound of every session is at least this.
    floor: Ticks,
}

impl PositionSketch {
    /// Creates a sketch of at most `max_slices` slices of `slice_span` ticks each.
    ///
    /// Each row of a slice has `width` cells, rounded up to a power of two.
    pub fn new(width: usize, max_slices: usize, slice_span: Ticks) -> PositionSketch {
        PositionSketch {
            slices: VecDeque::new(),
            width: width.next_power_of_two(),
            max_slices: max_slices.max(1),
            slice_span: slice_span.clamp(1, Ticks::from(u32::MAX / 2)),
            floor: 0,
        }
    }

    fn cells(&self, session: u64) -> [usize; ROWS] {
        let mask = self.width - 1;
        [
            session as usize & mask,
            self.width + ((session >> 32) as usize & mask),
        ]
    }

    /// Records a position of a session; the oldest slice is dropped where there are too many.
    pub fn record(&mut self, session: u64, position: Ticks) {
        if position <= self.floor {
            return;
        }
        let start = position - position.rem_euclid(self.slice_span);
        let index = match self.slices.iter().rposition(|slice| slice.start <= start) {
            Some(index) if self.slices[index].start == start => index,
            older => {
                let index = older.map_or(0, |index| index + 1);
                let cells = vec![0; ROWS * self.width];
                self.slices.insert(
                    index,
                    Slice {
                        start,
                        cells,
                        highest: position,
                    },
                );
                index
            }
        };
        let cells = self.cells(session);
        let slice = &mut self.slices[index];
        // Plus 1, as 0 marks an empty cell.
        let offset = (position - start) as Cell + 1;
        cells
            .into_iter()
            .for_each(|cell| slice.cells[cell] = slice.cells[cell].max(offset));
        slice.highest = slice.highest.max(position);
        while self.slices.len() > self.max_slices {
            let dropped = self.slices.pop_front();
            self.floor = dropped.map_or(self.floor, |slice| self.floor.max(slice.highest));
        }
    }

    /// Upper bound of the session's recorded positions; 0 if none was recorded for any session with the same cells.
    pub fn upper_bound(&self, session: u64) -> Ticks {
        let cells = self.cells(session);
        let bound = self.slices.iter().rev().find_map(|slice| {
            let lowest = cells
                .iter()
                .map(|cell| slice.cells[*cell])
                .min()
                .unwrap_or(0);
            (lowest > 0).then(|| slice.start + Ticks::from(lowest) - 1)
        });
        bound.unwrap_or(0).max(self.floor)
    }

    /// Size of the cells, in bytes.
    pub fn bytes(&self) -> usize {
        self.slices.len() * ROWS * self.width * size_of::<Cell>()
    }
}
