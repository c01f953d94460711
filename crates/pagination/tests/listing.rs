//! Courses of listings: what a cursor proves, which page may follow, what is turned away and when it may come again.

use fastrand::Rng;
use leverpoint_pagination::book::{Came, next};
use leverpoint_pagination::cursor::{MAX_CURSOR_LENGTH, MAX_RESUME_KEY_LENGTH, bearer};
use leverpoint_pagination::timeline::check_continuity;
use leverpoint_pagination::{
    Action, Book, Caps, Continuity, Crowd, Cursor, CursorError, ListingEvent, ListingState,
    ServerReport, TimelineFork, TimelineHistory, Turned, step,
};
use leverpoint_signing::{Key, Keys};
use proptest::prelude::*;

const MS: i64 = 10;
const SECOND: i64 = 10_000;
const NOW: i64 = 1_000_000 * MS;

const CAPS: Caps = Caps {
    listings: 8,
    a_customer: 3,
    pages_a_second: 2.0,
    bytes_a_second: 100_000.0,
    quiet: 30 * SECOND,
    ahead: 50_000,
    longest_come_back: 60 * SECOND,
};

fn keys(numbers: &[u8]) -> Keys {
    Keys::new(
        numbers
            .iter()
            .map(|&number| Key {
                number,
                secret: vec![number; 16],
            })
            .collect(),
    )
}

fn cursor() -> Cursor {
    let resume_key = b"rank:104|club:7".to_vec();
    Cursor {
        listing: 9,
        latest_position: NOW - 5,
        timeline: 3,
        pages_delivered: 2,
        expires_at: NOW + 600 * SECOND,
        resume_key,
    }
}

fn came(pages: u32, follows: Continuity) -> Came {
    Came {
        pages,
        bytes: 10_000,
        last: false,
        server: 4,
        follows,
        aside: false,
    }
}

#[test]
fn the_table_of_a_listing() {
    let states = [
        ListingState::New,
        ListingState::Reading,
        ListingState::Delivered,
        ListingState::Prefetching,
        ListingState::Prefetched,
        ListingState::Finished,
        ListingState::Lost,
    ];
    let events = [
        ListingEvent::Requested,
        ListingEvent::RequestedAgain,
        ListingEvent::Overtaken,
        ListingEvent::PrefetchAllowed,
        ListingEvent::PageRead,
        ListingEvent::LastPageRead,
        ListingEvent::TimelineLost,
        ListingEvent::ReadFailed,
        ListingEvent::ClientDisconnected,
        ListingEvent::IdleTimeout,
    ];
    let mut out = String::new();
    for state in states {
        for event in events {
            let (next, action) = step(state, event);
            if (next, action) != (state, Action::Nothing) {
                out += &format!("{state:?}, {event:?}: {next:?}, {action:?}\n");
            }
            // A page is shown only where one is being read or kept, and never from a history that is lost.
            let delivers = matches!(action, Action::Deliver | Action::DeliverPrefetched);
            assert!(!delivers || matches!(state, ListingState::Reading | ListingState::Prefetched));
            assert!(state != ListingState::Lost || next == ListingState::Lost);
        }
    }
    insta::assert_snapshot!(out);
}

#[test]
fn a_cursor_holds_for_its_customer_set_and_query_until_its_end_under_a_held_key() {
    let whose = bearer("sapporo", 2, "standings?sort=rank");
    let text = cursor().sign(&keys(&[1]), &whose).unwrap();
    assert_eq!(
        Cursor::verify(&keys(&[1]), &text, &whose, NOW),
        Ok(cursor())
    );
    assert_eq!(
        Cursor::verify(&keys(&[2, 1]), &text, &whose, NOW),
        Ok(cursor()),
        "the key has changed since"
    );
    assert_eq!(
        Cursor::verify(&keys(&[2]), &text, &whose, NOW),
        Err(CursorError::Expired),
        "its key has gone"
    );
    assert_eq!(
        Cursor::verify(&keys(&[1]), &text, &whose, NOW + 600 * SECOND),
        Err(CursorError::Expired),
        "too old"
    );
    for other in [
        bearer("kushiro", 2, "standings?sort=rank"),
        bearer("sapporo", 3, "standings?sort=rank"),
        bearer("sapporo", 2, "standings?sort=name"),
        bearer("sapporostandings", 2, "?sort=rank"),
    ] {
        assert_eq!(
            Cursor::verify(&keys(&[1]), &text, &other, NOW),
            Err(CursorError::Invalid),
            "foreign"
        );
    }
    for at in 0..text.len() {
        let mut forged = text.clone().into_bytes();
        forged[at] = if forged[at] == b'A' { b'B' } else { b'A' };
        let read = Cursor::verify(
            &keys(&[1]),
            std::str::from_utf8(&forged).unwrap(),
            &whose,
            NOW,
        );
        assert!(read.is_err(), "{at}");
    }
    let ahead = Cursor {
        latest_position: NOW + 700 * SECOND,
        ..cursor()
    };
    let text = ahead.sign(&keys(&[1]), &whose).unwrap();
    assert_eq!(
        Cursor::verify(&keys(&[1]), &text, &whose, NOW),
        Err(CursorError::Invalid),
        "from the future"
    );
    let long = Cursor {
        resume_key: vec![7; MAX_RESUME_KEY_LENGTH],
        ..cursor()
    };
    let text = long.sign(&keys(&[1]), &whose).unwrap();
    assert_eq!(
        (text.len(), Cursor::verify(&keys(&[1]), &text, &whose, NOW)),
        (MAX_CURSOR_LENGTH, Ok(long.clone()))
    );
    assert_eq!(
        Cursor {
            resume_key: vec![7; MAX_RESUME_KEY_LENGTH + 1],
            ..long
        }
        .sign(&keys(&[1]), &whose),
        None
    );
}

proptest! {
    #[test]
    fn no_text_is_a_cursor_but_a_signed_one(text in "[A-Za-z0-9_-]{0,900}|.{0,200}", query in ".{0,40}") {
        prop_assert!(Cursor::verify(&keys(&[1, 2]), &text, &bearer("a", 1, &query), NOW).is_err());
    }

    #[test]
    fn a_cursor_comes_back_as_it_was(
        resume_key in prop::collection::vec(any::<u8>(), 0..=MAX_RESUME_KEY_LENGTH),
        listing in any::<u64>(), timeline in any::<u64>(), pages_delivered in any::<u32>(), query in ".{0,40}",
    ) {
        let cursor = Cursor { listing, timeline, pages_delivered, resume_key, ..cursor() };
        let whose = bearer("a", 1, &query);
        let text = cursor.sign(&keys(&[1]), &whose).unwrap();
        prop_assert_eq!(Cursor::verify(&keys(&[1]), &text, &whose, NOW), Ok(cursor));
    }

    /// Whatever changes of primary there were, a page that may follow is from a history that kept what was shown.
    #[test]
    fn no_page_follows_from_a_history_that_lost_what_was_shown(
        lengths in prop::collection::vec((1i64..100, 0i64..60), 1..20), from in 0usize..20, at in 0i64..2_000, to in 0usize..20, far in 0i64..2_000,
    ) {
        // History n+1 leaves history n at `kept[n]`; what n had beyond that is lost.
        let mut end = 0;
        let kept: Vec<i64> = lengths.iter().map(|(more, lost)| { end += more; end - lost.min(more) }).collect();
        let kept: Vec<i64> = kept.iter().scan(0, |most, &k| { *most = k.max(*most); Some(*most) }).collect();
        let (from, to) = (from % (kept.len() + 1), to % (kept.len() + 1));
        let forks = (0..to).rev().map(|n| TimelineFork { parent: n as u64, position: kept[n] }).collect();
        let report = ServerReport { timeline: to as u64, timeline_history: TimelineHistory::new(forks).unwrap(), position: far };
        let survives = from <= to && (from..to).all(|n| at <= kept[n]);
        match check_continuity(from as u64, at, &report) {
            Continuity::Continues => prop_assert!(survives && far >= at),
            Continuity::Behind => prop_assert!(from > to || (survives && far < at)),
            // One that is further off than the past reaches counts as lost.
            Continuity::Lost => prop_assert!(from < to && (!survives || to - from > 16)),
        }
    }
}

#[test]
fn a_listing_ends_where_a_new_primary_never_had_what_it_has_shown() {
    let timeline_history = TimelineHistory::new(vec![
        TimelineFork {
            parent: 3,
            position: NOW - 10,
        },
        TimelineFork {
            parent: 2,
            position: NOW - 900,
        },
    ])
    .unwrap();
    let report = |timeline, position| ServerReport {
        timeline,
        timeline_history: timeline_history.clone(),
        position,
    };
    let mut out = String::new();
    for (what, timeline, position, report) in [
        ("the same history, further on", 4, NOW, report(4, NOW + 5)),
        ("the same history, behind", 4, NOW, report(4, NOW - 5)),
        (
            "page three is from before the change",
            3,
            NOW - 10,
            report(4, NOW),
        ),
        (
            "page three is from what the old primary had alone",
            3,
            NOW - 9,
            report(4, NOW),
        ),
        (
            "a primary that does not know that it was deposed",
            4,
            NOW,
            report(3, NOW + 50),
        ),
        ("two changes ago, kept", 2, NOW - 900, report(4, NOW)),
        ("longer ago than is known", 1, NOW - 5_000, report(4, NOW)),
    ] {
        out += &format!(
            "{what}: {:?}\n",
            check_continuity(timeline, position, &report)
        );
    }
    assert_eq!(
        TimelineHistory::new(vec![
            TimelineFork {
                parent: 2,
                position: 5
            },
            TimelineFork {
                parent: 3,
                position: 4
            }
        ]),
        None,
        "no order"
    );
    insta::assert_snapshot!(out);
}

#[test]
fn a_cursor_that_goes_on_never_goes_back() {
    let report = |timeline, position| ServerReport {
        timeline,
        timeline_history: TimelineHistory::default(),
        position,
    };
    let third = next(&cursor(), &report(3, NOW + 40), b"rank:205".to_vec());
    assert_eq!(
        (third.pages_delivered, third.latest_position, third.listing),
        (3, NOW + 40, 9)
    );
    assert_eq!(
        next(&third, &report(3, NOW), Vec::new()).latest_position,
        NOW + 40
    );
}

#[test]
fn a_listing_is_read_at_its_pace_and_told_when_to_come_back() {
    let mut book = Book::new(CAPS);
    let (mut now, mut shown, mut turned) = (NOW, 0, 0);
    while now < NOW + 60 * SECOND {
        match book.asks(now, 1, 0, shown) {
            Ok(plan) => {
                assert_eq!(plan.effect, Action::Read);
                shown += 1;
                assert_eq!(
                    book.came(now, 1, &came(shown, Continuity::Continues)),
                    Action::Deliver
                );
            }
            Err(Turned::Fast(later)) => {
                turned += 1;
                now += later;
            }
            Err(other) => panic!("{other:?}"),
        }
    }
    // Four at once, then two a second; and who comes back when told to is let in.
    assert!(
        (122..=124).contains(&shown) && turned <= shown,
        "{shown} pages, {turned} turned away"
    );
    // One of half a megabyte is made up for.
    assert!(book.asks(now + SECOND, 1, 0, shown).is_ok());
    let long = Came {
        bytes: 500_000,
        ..came(shown + 1, Continuity::Continues)
    };
    book.came(now + SECOND, 1, &long);
    assert!(
        matches!(book.asks(now + SECOND, 1, 0, shown + 1), Err(Turned::Fast(at)) if at > 2 * SECOND)
    );
}

#[test]
fn a_customer_has_so_many_open_and_an_abandoned_one_leaves_nothing() {
    let mut book = Book::new(CAPS);
    for listing in 0..3 {
        assert!(book.asks(NOW + listing, listing as u64, 0, 0).is_ok());
        book.came(
            NOW + listing,
            listing as u64,
            &came(1, Continuity::Continues),
        );
    }
    assert_eq!(
        book.asks(NOW + SECOND, 7, 0, 0),
        Err(Turned::Many(29 * SECOND))
    );
    assert!(
        book.asks(NOW + SECOND, 8, 1, 0).is_ok(),
        "another customer's"
    );
    assert_eq!(book.hung_up(8), Action::Discard);
    // The first is gone after half a minute of quiet, and the one turned away is let in when it was told.
    assert!(book.asks(NOW + 30 * SECOND, 7, 0, 0).is_ok());
    book.came(NOW + 30 * SECOND, 7, &came(1, Continuity::Continues));
    assert_eq!(book.state(0), None);
    // A cursor of it goes on all the same.
    assert!(
        book.asks(NOW + 31 * SECOND, 0, 0, 1)
            .is_ok_and(|plan| plan.effect == Action::Read)
    );
    assert_eq!(book.hung_up(0), Action::Discard);
    let mut left = book.sweep(NOW + 62 * SECOND);
    left.sort_unstable();
    assert_eq!((left, book.holds()), (vec![0, 7], (0, 0)));
}

#[test]
fn one_cursor_at_two_clients_and_pages_shown_elsewhere() {
    let mut book = Book::new(CAPS);
    assert!(book.asks(NOW, 1, 0, 0).is_ok());
    assert_eq!(
        book.asks(NOW, 1, 0, 0).map(|plan| plan.effect),
        Ok(Action::Reread),
        "both ask for page one"
    );
    assert_eq!(
        book.came(
            NOW,
            1,
            &Came {
                aside: true,
                ..came(1, Continuity::Continues)
            }
        ),
        Action::Deliver
    );
    assert_eq!(
        book.came(NOW, 1, &came(1, Continuity::Continues)),
        Action::Deliver
    );
    // Page one again, as its answer was lost on the way; then page five, as others were shown elsewhere.
    assert_eq!(
        book.asks(NOW, 1, 0, 0).map(|plan| plan.effect),
        Ok(Action::Reread)
    );
    let plan = book.asks(NOW + SECOND, 1, 0, 4).unwrap();
    assert_eq!((plan.effect, plan.before), (Action::Read, Some(4)));
    // A history that lost page four ends it for whoever holds a cursor of it.
    assert_eq!(
        book.came(NOW, 1, &came(5, Continuity::Lost)),
        Action::RejectLost
    );
    assert_eq!(book.asks(NOW + 2 * SECOND, 1, 0, 4), Err(Turned::Gone));
}

#[test]
fn a_page_is_read_ahead_by_habit_at_a_replica_and_dropped_when_its_reader_stays_away() {
    let mut book = Book::new(Caps {
        pages_a_second: 100.0,
        bytes_a_second: 1e9,
        ..CAPS
    });
    for page in 0..3 {
        assert!(
            page > 1 || book.spare(1, true, false, 10_000) == Action::Nothing,
            "no habit yet"
        );
        assert_eq!(
            book.asks(NOW + page * SECOND, 1, 0, page as u32)
                .unwrap()
                .effect,
            Action::Read
        );
        book.came(
            NOW + page * SECOND,
            1,
            &came(page as u32 + 1, Continuity::Continues),
        );
    }
    assert_eq!(
        book.spare(1, false, false, 10_000),
        Action::Nothing,
        "the primary is not spared by it"
    );
    assert_eq!(
        book.spare(1, true, true, 10_000),
        Action::Nothing,
        "short commands wait"
    );
    assert_eq!(
        book.spare(1, true, false, 60_000),
        Action::Nothing,
        "no room"
    );
    assert_eq!(book.spare(1, true, false, 10_000), Action::Read);
    assert_eq!(
        book.came(NOW + 2 * SECOND, 1, &came(4, Continuity::Continues)),
        Action::KeepPrefetched
    );
    assert_eq!(book.holds(), (1, 10_000));
    assert_eq!(
        book.asks(NOW + 3 * SECOND, 1, 0, 3).unwrap().effect,
        Action::DeliverPrefetched
    );
    assert_eq!((book.holds(), book.counts.ahead_shown), ((1, 0), 1));
    assert_eq!(book.spare(1, true, false, 10_000), Action::Read);
    assert_eq!(
        book.came(NOW + 3 * SECOND, 1, &came(5, Continuity::Continues)),
        Action::KeepPrefetched
    );
    assert_eq!(book.sweep(NOW + 40 * SECOND), [1]);
    assert_eq!((book.holds(), book.counts.ahead_vain), ((0, 0), 1));
}

#[test]
fn whatever_is_seen_nothing_grows_past_its_bound_and_no_page_is_shown_unread() {
    for seed in 0..200 {
        let mut chance = Rng::with_seed(seed);
        let mut book = Book::new(CAPS);
        let (mut now, mut reads) = (NOW, std::collections::BTreeMap::<u64, u32>::new());
        for _ in 0..400 {
            now += chance.i64(0..2 * SECOND);
            let (listing, pages) = (chance.u64(0..12), chance.u32(0..4));
            let effect = match chance.u8(0..8) {
                0..=2 => match book.asks(now, listing, (listing % 3) as usize, pages) {
                    Ok(plan) => {
                        let reads = [
                            Action::Read,
                            Action::Reread,
                            Action::DeliverPrefetched,
                            Action::Nothing,
                        ];
                        assert!(
                            reads.contains(&plan.effect),
                            "{plan:?} leaves who asked without a page"
                        );
                        plan.effect
                    }
                    Err(Turned::Many(at) | Turned::Fast(at)) => {
                        assert!((1..=CAPS.longest_come_back).contains(&at));
                        continue;
                    }
                    Err(Turned::Gone) => continue,
                },
                3 | 4 if reads.get(&listing).is_some_and(|n| *n > 0) => {
                    let follows = [
                        Continuity::Continues,
                        Continuity::Continues,
                        Continuity::Behind,
                        Continuity::Lost,
                    ];
                    let last = chance.u8(0..4) == 0;
                    let one = Came {
                        last,
                        ..came(pages, follows[chance.usize(0..4)])
                    };
                    let effect = book.came(now, listing, &one);
                    let left = reads.entry(listing).or_default();
                    assert!(
                        !matches!(effect, Action::Deliver | Action::KeepPrefetched) || *left > 0
                    );
                    *left = left.saturating_sub(1);
                    effect
                }
                5 => book.hung_up(listing),
                6 => book.no_page(listing),
                7 => book.spare(listing, true, false, 10_000),
                _ => Action::Nothing,
            };
            *reads.entry(listing).or_default() += u32::from(effect == Action::Read);
            let (listings, kept) = book.holds();
            assert!(
                listings <= CAPS.listings && kept <= CAPS.ahead + 10_000,
                "{listings} {kept}"
            );
        }
        book.sweep(now + CAPS.quiet);
        book.sweep(now + 2 * CAPS.quiet);
        let reading = (0..12)
            .filter(|l| book.state(*l) == Some(ListingState::Reading))
            .count();
        assert_eq!(
            book.holds(),
            (reading, 0),
            "only what is being read is still there"
        );
    }
}

#[test]
fn a_crowd_of_listings_yields_to_short_commands_and_takes_turns() {
    let mut crowd = Crowd::new(60 * SECOND);
    let mut out = String::new();
    // A hundred readers, each for its next page half a second after the one before, or when it was told to come
    // back; a page takes 100 ms. Short commands are late whenever more than six pages are out.
    let mut comes: Vec<i64> = (0..100).map(|n| NOW + n * 10).collect();
    let mut ends: Vec<i64> = Vec::new();
    let (mut asked, mut read, mut longest) = (0, 0, 0);
    let mut now = NOW;
    while now < NOW + 60 * SECOND {
        now += 10 * MS;
        let (over, on): (Vec<i64>, _) = ends.iter().partition(|at| **at <= now);
        ends = on;
        over.iter().for_each(|_| crowd.page_ended(0, now, 1_000));
        (0..10).for_each(|n| crowd.ended(0, now, 1.0, ends.len() <= 6 || n > 1));
        for at in comes.iter_mut().filter(|at| **at <= now) {
            asked += 1;
            *at = match crowd.page(0, now, 0.2) {
                Ok(()) => {
                    read += 1;
                    ends.push(now + 1_000);
                    now + 6_000
                }
                Err(later) => {
                    longest = longest.max(later);
                    now + later
                }
            };
        }
        if (now - NOW) % (10 * SECOND) == 0 {
            let room = crowd.of(0).1;
            let longest = std::mem::take(&mut longest) / MS;
            out += &format!(
                "{asked} asked, {read} read, room {room:.1}, told {longest} ms at the most\n"
            );
            (asked, read) = (0, 0);
        }
    }
    insta::assert_snapshot!(out);
    // However short commands fare, one page at a time is read.
    for _ in 0..400 {
        now += SECOND;
        crowd.ended(0, now, 100.0, false);
    }
    (0..crowd.of(0).0).for_each(|_| crowd.page_ended(0, now, 1_000));
    assert_eq!((crowd.page(0, now, 0.0), crowd.of(0).1), (Ok(()), 1.0));
}

/// A cursor that a client carries is read by gateways of other versions of the program.
#[test]
fn a_cursor_is_the_text_that_the_released_program_signs() {
    let keys = Keys::new(vec![Key {
        number: 9,
        secret: (0..16).collect(),
    }]);
    let cursor = Cursor {
        listing: 1,
        latest_position: 2_000,
        timeline: 3,
        pages_delivered: 4,
        expires_at: 900_000,
        resume_key: b"7f3a".to_vec(),
    };
    let text = cursor.sign(&keys, &bearer("acme", 2, "q")).unwrap();
    assert_eq!(
        Cursor::verify(&keys, &text, &bearer("acme", 2, "q"), 1_000),
        Ok(cursor)
    );
    insta::assert_snapshot!(text);
}
