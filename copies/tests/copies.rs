//! What a promise survives, which holders a record has, and what merges come to in every order.

use std::collections::BTreeMap;

use fastrand::Rng;
use leverpoint_copies::promise::{Holders, Input, step};
use leverpoint_copies::{
    Answer, Copies, Effect, Ended, Fate, Kind, Promise, Reading, Record, Role, State, Value, Worth, holders,
};
use leverpoint_members::layout::{Holder, Layout};

fn layout(many: usize, zones: usize, machines: usize) -> Layout {
    let holder = |n: usize| Holder {
        name: format!("n{n:03}"),
        memory: 100 + n as u64,
        machine: format!("m{}", n % machines),
        zone: format!("z{}", n % zones),
    };
    Layout { version: 1, holders: (0..many).map(holder).collect() }
}

fn named(n: usize) -> Holders {
    (0..n).map(|n| (format!("n{n}"), n as u64 + 1)).collect()
}

#[test]
fn a_merge_minds_no_order_doubling_or_delay() {
    let mut chance = Rng::with_seed(3);
    let mut any = |which: usize| {
        let mut small = || chance.i64(0..6);
        let value = match which {
            0 => Value::Position(small()),
            1 => {
                let first = small();
                let ended = [Ended::Open, Ended::Unclear, Ended::Ran][small() as usize % 3];
                Value::Key(Fate { set: small() as u16, first, until: first + small(), ended })
            }
            _ => Value::Role(Role { term: small() as u64, at: small(), server: format!("s{}", small()) }),
        };
        let kind = [Kind::Position(1), Kind::Key(1), Kind::Role(1)][which];
        Record { kind, value }
    };
    for round in 0..3_000 {
        let which = round % 3;
        let [a, b, c] = [any(which), any(which), any(which)];
        assert!(a.sound());
        let merged = |all: &[&Record]| {
            let mut out = all[0].clone();
            for other in &all[1..] {
                out.merge(other);
            }
            out
        };
        let whole = merged(&[&a, &b, &c]);
        for order in [[&a, &c, &b], [&b, &a, &c], [&b, &c, &a], [&c, &a, &b], [&c, &b, &a]] {
            assert_eq!(merged(&order), whole);
        }
        assert_eq!(merged(&[&a, &b, &a, &c, &b]), whole);
        assert_eq!(merged(&[&merged(&[&a, &b]), &merged(&[&b, &c])]), whole);
        assert!(!merged(&[&whole]).clone().merge(&a), "what is in it changes nothing");
    }
}

#[test]
fn a_repeat_goes_only_inside_the_set_and_window_as_first_sent_anywhere() {
    let record = |set, first, until, ended| Record {
        kind: Kind::Key(9),
        value: Value::Key(Fate { set, first, until, ended }),
    };
    let mut fate = record(2, 500, 20_500, Ended::Unclear);
    fate.merge(&record(3, 200, 20_200, Ended::Open));
    let Value::Key(fate) = fate.value else { panic!("a key") };
    assert_eq!((fate.set, fate.first, fate.until, fate.ended), (3, 200, 20_200, Ended::Unclear));
    assert!(fate.may_go(3, 20_000, 10) && !fate.may_go(2, 20_000, 10) && !fate.may_go(3, 20_195, 10));
}

#[test]
fn holders_are_apart_the_same_for_all_and_few_move() {
    let copies = Copies::new(3).unwrap();
    let mut at = BTreeMap::new();
    let twelve = layout(12, 3, 12);
    for n in 0..6_000 {
        let held = holders(&twelve, Kind::Position(n), copies);
        let zones: std::collections::BTreeSet<_> = held.iter().map(|h| &twelve.holders[*h].zone).collect();
        assert_eq!((held.len(), zones.len()), (3, 3));
        held.iter().for_each(|holder| *at.entry(*holder).or_insert(0) += 1);
    }
    // 1,500 each, were it even.
    assert!(at.len() == 12 && at.values().all(|many| (1_300..1_700).contains(many)), "{at:?}");
    // Two processes a machine: never both.
    let pairs = layout(8, 1, 4);
    for n in 0..500 {
        let held = holders(&pairs, Kind::Key(n), copies);
        let machines: std::collections::BTreeSet<_> =
            held.iter().map(|h| &pairs.holders[*h].machine).collect();
        assert_eq!(machines.len(), 3);
    }
    // One more holder takes over about its part and moves nothing else.
    let more = layout(13, 3, 13);
    let names = |l: &Layout, n| {
        let mut held: Vec<String> =
            holders(l, Kind::Position(n), copies).iter().map(|h| l.holders[*h].name.clone()).collect();
        held.sort();
        held
    };
    let moved = (0..6_000).filter(|n| names(&twelve, *n) != names(&more, *n)).count();
    assert!((900..2_000).contains(&moved), "{moved} of 6000");
    assert_eq!(holders(&layout(2, 1, 2), Kind::Role(1), copies).len(), 2);
    assert!(Copies::new(2).is_none() && Copies::new(9).is_none());
}

#[test]
fn the_table_of_a_promise_reads_like_this() {
    let inputs =
        [Input::Enough, Input::Few, Input::Refused, Input::TooFew, Input::Slow, Input::Over, Input::Moved];
    let mut out = String::new();
    for state in [State::Sent, State::Widened, State::Promised, State::Unpromised] {
        for input in inputs {
            let (next, effect) = step(state, input);
            out += &format!("{state:?} {input:?} -> {next:?} {effect:?}\n");
        }
    }
    insta::assert_snapshot!(out);
}

/// Every way of telling holders, losing some and reading at the rest, for 3 and 5 copies.
#[test]
fn whatever_was_promised_every_read_quorum_has_and_what_was_lost_is_never_guessed() {
    let record = Record { kind: Kind::Position(1), value: Value::Position(77) };
    let (mut exact, mut owed) = (0, 0);
    for many in [3usize, 5] {
        let all = named(many);
        for have in 0..1u32 << many {
            let mut promise = Promise::new(all.clone(), 100, 200);
            let mut promised = false;
            for (_, who) in all.iter().enumerate().filter(|(n, _)| have >> n & 1 == 1) {
                promised |= promise.has(who) == Effect::Promise;
            }
            assert_eq!(promised, have.count_ones() as usize >= Copies::quorum(many));
            for lost in 0..1u32 << many {
                // Those that lost their memory are back, empty and learning; the others answer or are not reached.
                for reached in 0..1u32 << many {
                    let mut reading = Reading::new(vec![all.clone()]);
                    let mut worth = Worth::Wait;
                    for (n, who) in all.iter().enumerate() {
                        let held = (have >> n & 1 == 1).then(|| record.clone());
                        let answer = match (reached >> n & 1 == 1, lost >> n & 1 == 1) {
                            (false, _) => None,
                            (true, true) => Some(Answer::Learning(None)),
                            (true, false) => Some(Answer::Whole(held)),
                        };
                        worth = reading.heard(who, answer);
                    }
                    match worth {
                        Worth::Exact(found) => {
                            exact += 1;
                            assert!(
                                !promised || found.as_ref() == Some(&record),
                                "{have:b} {lost:b} {reached:b}"
                            );
                        }
                        Worth::Owes(_) => owed += 1,
                        Worth::Wait => panic!("all have been heard"),
                    }
                }
            }
        }
    }
    assert!(exact > 1_000 && owed > 1_000, "{exact} {owed}");
}

#[test]
fn a_promise_gives_way_in_time_and_counts_both_layouts_while_one_is_left() {
    let (old, new) = (named(3), vec![("n0".to_owned(), 1), ("n8".to_owned(), 80), ("n9".to_owned(), 90)]);
    let mut promise = Promise::new(old.clone(), 100, 200);
    assert_eq!(promise.to_send().count(), 2);
    assert_eq!((promise.tick(99), promise.tick(100)), (Effect::Nothing, Effect::SendFurther));
    assert_eq!(promise.to_send().count(), 3);
    assert_eq!(promise.moved(new.clone()), Effect::SendFurther);
    assert_eq!(promise.to_send().count(), 5);
    // Enough of the old, not of the new; then of both. One with another memory than its layout's is nobody.
    assert_eq!((promise.has(&old[0]), promise.has(&old[1])), (Effect::Nothing, Effect::Nothing));
    assert_eq!(promise.has(&("n8".into(), 81)), Effect::Nothing);
    assert_eq!(promise.has(&new[1]), Effect::Promise);
    assert_eq!((promise.due(), promise.tick(500)), (None, Effect::Nothing));
    // Too few are left: without the promise, at once. And at its time.
    let mut promise = Promise::new(old.clone(), 100, 200);
    assert_eq!(promise.refuses(&old[0]), Effect::SendFurther);
    assert_eq!(promise.refuses(&old[1]), Effect::AnswerWithout);
    assert_eq!((promise.state(), promise.has(&old[2])), (State::Unpromised, Effect::Nothing));
    let mut promise = Promise::new(old, 100, 200);
    assert_eq!((promise.due(), promise.tick(200)), (Some(100), Effect::AnswerWithout));
}
