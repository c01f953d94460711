//! Owns a read of one record at its holders, and what their answers are worth together.
//!
//! It must never take a memory that was lost for one that is empty: a holder that is still learning its part says so, gives
//! what it has, and counts in no quorum.

use std::collections::BTreeMap;

use crate::place::Copies;
use crate::promise::Holders;
use crate::record::Record;

/// What one holder says of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// All that it was ever told of its part is there: this, or nothing.
    Whole(Option<Record>),
    /// It has lost its memory and has not taken its part from the others yet.
    Learning(Option<Record>),
    /// What it had for this record has gone into a summary, which only asks for more.
    Folded,
}

/// What the answers come to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Worth {
    /// Not enough yet, and there may be.
    Wait,
    /// Whatever was promised is in this: the record, or that there is none.
    Exact(Option<Record>),
    /// A quorum can't be had: this much is known, and whatever was promised beside it is owed as if it were now.
    Owes(Option<Record>),
}

#[derive(Clone, Debug)]
pub struct Reading {
    layouts: Vec<Holders>,
    answers: BTreeMap<(String, u64), Option<Answer>>,
}

impl Reading {
    /// At the holders of the layout that is, and of those that are being left.
    pub fn new(layouts: Vec<Holders>) -> Reading {
        Reading { layouts, answers: BTreeMap::new() }
    }

    /// What one says; none: it can't be asked.
    pub fn heard(&mut self, who: &(String, u64), answer: Option<Answer>) -> Worth {
        if self.layouts.iter().flatten().any(|holder| holder == who) {
            // Asked twice it may have learnt meanwhile, and never the other way round.
            self.answers.insert(who.clone(), answer);
        }
        self.worth()
    }

    /// All that was heard as one record.
    fn together(&self) -> Option<Record> {
        let records = self.answers.values().flatten().filter_map(|answer| match answer {
            Answer::Whole(record) | Answer::Learning(record) => record.as_ref(),
            Answer::Folded => None,
        });
        records.fold(None, |all: Option<Record>, record| match all {
            None => Some(record.clone()),
            Some(mut all) => {
                all.merge(record);
                Some(all)
            }
        })
    }

    pub fn worth(&self) -> Worth {
        let whole = |who: &(String, u64)| matches!(self.answers.get(who), Some(Some(Answer::Whole(_))));
        let open = |who: &(String, u64)| !self.answers.contains_key(who);
        let (mut enough, mut may_be) = (true, true);
        for holders in &self.layouts {
            let quorum = Copies::quorum(holders.len());
            let have = holders.iter().filter(|who| whole(who)).count();
            let left = holders.iter().filter(|who| open(who)).count();
            enough &= have >= quorum && !holders.is_empty();
            may_be &= have + left >= quorum;
        }
        // One layout's quorum is enough for what was promised in it; what was promised in the next as well was kept in
        // both. So any of them would do; all are asked for, as it is not known here which hand-over was whole.
        match (enough, may_be) {
            (true, _) => Worth::Exact(self.together()),
            (false, true) => Worth::Wait,
            (false, false) => Worth::Owes(self.together()),
        }
    }
}
