//! Owns the records that are copied, and how two copies of one become one.
//!
//! A merge must never mind in which order, how often or how late copies come: it is the least value that is no older than
//! either. It must never go back from what is known of a command to what is not.

use serde::{Deserialize, Serialize};

use crate::Tenths;

/// Which record: what it is of, never what it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// What a session has written, by its number.
    Position(u64),
    /// A keyed command, by the hash of its customer and key.
    Key(u64),
    /// The primary of a set.
    Role(u16),
}

/// How a keyed command has ended, as far as that is known; a later one in this order wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Ended {
    /// It is out, and nothing has come back.
    Open,
    /// It may have run.
    Unclear,
    /// It has run: a row came back.
    Ran,
}

/// What is known of a keyed command over all gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fate {
    /// The set that heard of it first, and when it was first sent there, on the senders' clocks.
    pub set: u16,
    pub first: Tenths,
    /// Until when that set drops a repeat; the earliest of what was said.
    pub until: Tenths,
    pub ended: Ended,
}

/// Who is the primary of a set.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Role {
    /// Goes up with each change that a server has told of.
    pub term: u64,
    pub at: Tenths,
    pub server: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Value {
    Position(Tenths),
    Key(Fate),
    Role(Role),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub kind: Kind,
    pub value: Value,
}

impl Fate {
    fn merge(&mut self, other: &Fate) {
        // Of two that were first sent in one instant the lower set is named, by whoever merges them.
        if (other.first, other.set) < (self.first, self.set) {
            (self.first, self.set) = (other.first, other.set);
        }
        self.until = self.until.min(other.until);
        self.ended = self.ended.max(other.ended);
    }

    /// Whether a repeat may be sent to that set now, when clocks differ by so much at the most.
    pub fn may_go(&self, set: u16, now: Tenths, clocks: Tenths) -> bool {
        self.set == set && now + clocks < self.until
    }
}

impl Record {
    /// Whether the value is one of this kind, with all its parts in bounds.
    pub fn sound(&self) -> bool {
        match (&self.kind, &self.value) {
            (Kind::Position(_), Value::Position(at)) => *at >= 0,
            (Kind::Key(_), Value::Key(fate)) => fate.first >= 0 && fate.until >= fate.first,
            (Kind::Role(_), Value::Role(role)) => role.server.len() <= 64 && role.at >= 0,
            _ => false,
        }
    }

    /// Takes in another copy of the same record; whether that changed anything.
    pub fn merge(&mut self, other: &Record) -> bool {
        if self.kind != other.kind {
            return false;
        }
        let before = self.value.clone();
        match (&mut self.value, &other.value) {
            (Value::Position(mine), Value::Position(theirs)) => *mine = (*mine).max(*theirs),
            (Value::Key(mine), Value::Key(theirs)) => mine.merge(theirs),
            (Value::Role(mine), Value::Role(theirs)) if theirs > mine => *mine = theirs.clone(),
            _ => {}
        }
        self.value != before
    }
}
