//! Order in which connections are evicted: a doubly linked list per rank, the oldest entry first.
//!
//! Insertion, removal and lookup of the first connection take constant time.

/// Reason for which a connection may be evicted, in descending order of priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionRank {
    /// The client reads nothing, and its deadline has passed.
    StalledPastDeadline,
    /// The client reads slowly, and its deadline has passed.
    SlowPastDeadline,
    /// The client has not completed a message within the grace.
    IncompleteMessage,
    /// The client's deadline has passed with bytes unread, whatever its earlier rate.
    PastDeadline,
}

const RANKS: usize = 4;
/// Marks the end of a list.
const NONE: u32 = u32::MAX;

/// Links of one connection within the list of its rank.
#[derive(Clone, Copy, Debug)]
struct Links {
    rank: Option<EvictionRank>,
    previous: u32,
    next: u32,
}

const UNLINKED: Links = Links {
    rank: None,
    previous: NONE,
    next: NONE,
};

/// Connections that may be evicted, by rank and by time of insertion.
#[derive(Clone, Debug)]
pub struct EvictionOrder {
    /// Links by connection index.
    links: Vec<Links>,
    heads: [u32; RANKS],
    tails: [u32; RANKS],
}

impl Default for EvictionOrder {
    fn default() -> EvictionOrder {
        EvictionOrder {
            links: Vec::new(),
            heads: [NONE; RANKS],
            tails: [NONE; RANKS],
        }
    }
}

impl EvictionOrder {
    /// Appends a connection to the list of a rank; one that is in that list already keeps its position.
    pub fn insert(&mut self, connection: usize, rank: EvictionRank) {
        if self.links.len() <= connection {
            self.links.resize(connection + 1, UNLINKED);
        }
        if self.links[connection].rank == Some(rank) {
            return;
        }
        self.remove(connection);
        let (list, tail) = (rank as usize, self.tails[rank as usize]);
        self.links[connection] = Links {
            rank: Some(rank),
            previous: tail,
            next: NONE,
        };
        match tail {
            NONE => self.heads[list] = connection as u32,
            tail => self.links[tail as usize].next = connection as u32,
        }
        self.tails[list] = connection as u32;
    }

    /// Removes a connection from the list of its rank, if it is in one.
    pub fn remove(&mut self, connection: usize) {
        let Some(links) = self.links.get_mut(connection) else {
            return;
        };
        let Links {
            rank: Some(rank),
            previous,
            next,
        } = std::mem::replace(links, UNLINKED)
        else {
            return;
        };
        let list = rank as usize;
        match previous {
            NONE => self.heads[list] = next,
            previous => self.links[previous as usize].next = next,
        }
        match next {
            NONE => self.tails[list] = previous,
            next => self.links[next as usize].previous = previous,
        }
    }

    /// Rank of a connection; `None` if it is in no list.
    pub fn rank(&self, connection: usize) -> Option<EvictionRank> {
        self.links.get(connection).and_then(|links| links.rank)
    }

    /// The connection to evict next: the oldest entry of the first rank that has any.
    pub fn first(&self) -> Option<usize> {
        self.heads
            .iter()
            .find(|head| **head != NONE)
            .map(|head| *head as usize)
    }
}
