//! Tests of listings: the validity of cursors, the continuity of pages across failovers, limits and retry times.

use fastrand::Rng;
use leverpoint_pagination::cursor::{MAX_CURSOR_LENGTH, MAX_RESUME_KEY_LENGTH, bearer};
use leverpoint_pagination::listing_table::{PageResult, next_cursor};
use leverpoint_pagination::timeline::check_continuity;
use leverpoint_pagination::{
    Action, Continuity, Cursor, CursorError, ListingEvent, ListingLimits, ListingState,
    ListingTable, PageLimiter, PageRejection, ServerReport, TimelineFork, TimelineHistory, step,
};
use leverpoint_signing::{Key, Keys};
use proptest::prelude::*;

const MS: i64 = 10;
const SECOND: i64 = 10_000;
const NOW: i64 = 1_000_000 * MS;

const LIMITS: ListingLimits = ListingLimits {
    max_listings: 8,
    max_listings_per_tenant: 3,
    pages_per_second: 2.0,
    bytes_per_second: 100_000.0,
    idle_timeout: 30 * SECOND,
    max_prefetched_bytes: 50_000,
    max_retry_after: 60 * SECOND,
};

fn test_keys(numbers: &[u8]) -> Keys {
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

fn sample_cursor() -> Cursor {
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

fn page_result(pages: u32, continuity: Continuity) -> PageResult {
    PageResult {
        pages,
        bytes: 10_000,
        is_last: false,
        server: 4,
        continuity,
        is_reread: false,
    }
}

#[test]
fn transitions_deliver_only_pages_read_and_never_leave_lost() {
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
            // A page is delivered only if one is being read or is prefetched, and never after the timeline is lost.
            let delivers = matches!(action, Action::Deliver | Action::DeliverPrefetched);
            assert!(!delivers || matches!(state, ListingState::Reading | ListingState::Prefetched));
            assert!(state != ListingState::Lost || next == ListingState::Lost);
        }
    }
    insta::assert_snapshot!(out);
}

#[test]
fn cursors_verify_only_for_their_bearer_until_they_expire_or_their_key_is_removed() {
    let bearer_bytes = bearer("sapporo", 2, "standings?sort=rank");
    let text = sample_cursor()
        .sign(&test_keys(&[1]), &bearer_bytes)
        .unwrap();
    assert_eq!(
        Cursor::verify(&test_keys(&[1]), &text, &bearer_bytes, NOW),
        Ok(sample_cursor())
    );
    assert_eq!(
        Cursor::verify(&test_keys(&[2, 1]), &text, &bearer_bytes, NOW),
        Ok(sample_cursor()),
        "signed by the previous key"
    );
    assert_eq!(
        Cursor::verify(&test_keys(&[2]), &text, &bearer_bytes, NOW),
        Err(CursorError::Expired),
        "signed by a removed key"
    );
    assert_eq!(
        Cursor::verify(&test_keys(&[1]), &text, &bearer_bytes, NOW + 600 * SECOND),
        Err(CursorError::Expired),
        "expired"
    );
    for other in [
        bearer("kushiro", 2, "standings?sort=rank"),
        bearer("sapporo", 3, "standings?sort=rank"),
        bearer("sapporo", 2, "standings?sort=name"),
        bearer("sapporostandings", 2, "?sort=rank"),
    ] {
        assert_eq!(
            Cursor::verify(&test_keys(&[1]), &text, &other, NOW),
            Err(CursorError::Invalid),
            "another bearer"
        );
    }
    for at in 0..text.len() {
        let mut forged = text.clone().into_bytes();
        forged[at] = if forged[at] == b'A' { b'B' } else { b'A' };
        let read = Cursor::verify(
            &test_keys(&[1]),
            std::str::from_utf8(&forged).unwrap(),
            &bearer_bytes,
            NOW,
        );
        assert!(read.is_err(), "{at}");
    }
    let ahead = Cursor {
        latest_position: NOW + 700 * SECOND,
        ..sample_cursor()
    };
    let text = ahead.sign(&test_keys(&[1]), &bearer_bytes).unwrap();
    assert_eq!(
        Cursor::verify(&test_keys(&[1]), &text, &bearer_bytes, NOW),
        Err(CursorError::Invalid),
        "position ahead of the clock"
    );
    let long = Cursor {
        resume_key: vec![7; MAX_RESUME_KEY_LENGTH],
        ..sample_cursor()
    };
    let text = long.sign(&test_keys(&[1]), &bearer_bytes).unwrap();
    assert_eq!(
        (
            text.len(),
            Cursor::verify(&test_keys(&[1]), &text, &bearer_bytes, NOW)
        ),
        (MAX_CURSOR_LENGTH, Ok(long.clone()))
    );
    assert_eq!(
        Cursor {
            resume_key: vec![7; MAX_RESUME_KEY_LENGTH + 1],
            ..long
        }
        .sign(&test_keys(&[1]), &bearer_bytes),
        None
    );
}

proptest! {
    #[test]
    fn text_that_is_not_signed_is_never_a_valid_cursor(text in "[A-Za-z0-9_-]{0,900}|.{0,200}", query in ".{0,40}") {
        prop_assert!(Cursor::verify(&test_keys(&[1, 2]), &text, &bearer("a", 1, &query), NOW).is_err());
    }

    #[test]
    fn signed_cursors_are_read_back_unchanged(
        resume_key in prop::collection::vec(any::<u8>(), 0..=MAX_RESUME_KEY_LENGTH),
        listing in any::<u64>(), timeline in any::<u64>(), pages_delivered in any::<u32>(), query in ".{0,40}",
    ) {
        let cursor = Cursor { listing, timeline, pages_delivered, resume_key, ..sample_cursor() };
        let bearer_bytes = bearer("a", 1, &query);
        let text = cursor.sign(&test_keys(&[1]), &bearer_bytes).unwrap();
        prop_assert_eq!(Cursor::verify(&test_keys(&[1]), &text, &bearer_bytes, NOW), Ok(cursor));
    }

    /// After any sequence of failovers, a page may be delivered only from a timeline that kept the writes shown
    /// before.
    #[test]
    fn pages_continue_only_on_timelines_that_kept_what_was_delivered(
        lengths in prop::collection::vec((1i64..100, 0i64..60), 1..20),
        from in 0usize..20, position in 0i64..2_000, to in 0usize..20, reported in 0i64..2_000,
    ) {
        // Timeline n + 1 forks from timeline n at `fork_positions[n]`; what n had written beyond that is lost.
        let mut end = 0;
        let fork_positions: Vec<i64> =
            lengths.iter().map(|(more, lost)| { end += more; end - lost.min(more) }).collect();
        let fork_positions: Vec<i64> =
            fork_positions.iter().scan(0, |highest, &k| { *highest = k.max(*highest); Some(*highest) }).collect();
        let (from, to) = (from % (fork_positions.len() + 1), to % (fork_positions.len() + 1));
        let forks = (0..to).rev().map(|n| TimelineFork { parent: n as u64, position: fork_positions[n] }).collect();
        let report = ServerReport {
            timeline: to as u64,
            timeline_history: TimelineHistory::new(forks).unwrap(),
            position: reported,
        };
        let is_kept = from <= to && (from..to).all(|n| position <= fork_positions[n]);
        match check_continuity(from as u64, position, &report) {
            Continuity::Continues => prop_assert!(is_kept && reported >= position),
            Continuity::Behind => prop_assert!(from > to || (is_kept && reported < position)),
            // A timeline older than the 16 forks kept counts as lost.
            Continuity::Lost => prop_assert!(from < to && (!is_kept || to - from > 16)),
        }
    }
}

#[test]
fn continuity_after_a_failover_depends_on_what_the_new_primary_had_applied() {
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
        "forks out of order"
    );
    insta::assert_snapshot!(out);
}

#[test]
fn next_cursors_never_lower_the_position() {
    let report = |timeline, position| ServerReport {
        timeline,
        timeline_history: TimelineHistory::default(),
        position,
    };
    let third = next_cursor(&sample_cursor(), &report(3, NOW + 40), b"rank:205".to_vec());
    assert_eq!(
        (third.pages_delivered, third.latest_position, third.listing),
        (3, NOW + 40, 9)
    );
    assert_eq!(
        next_cursor(&third, &report(3, NOW), Vec::new()).latest_position,
        NOW + 40
    );
}

#[test]
fn page_rates_are_limited_and_retries_at_the_stated_time_are_admitted() {
    let mut table = ListingTable::new(LIMITS);
    let (mut now, mut delivered, mut rejected) = (NOW, 0, 0);
    while now < NOW + 60 * SECOND {
        match table.request_page(now, 1, 0, delivered) {
            Ok(plan) => {
                assert_eq!(plan.action, Action::Read);
                delivered += 1;
                assert_eq!(
                    table.on_page_read(now, 1, &page_result(delivered, Continuity::Continues)),
                    Action::Deliver
                );
            }
            Err(PageRejection::TooFast(retry_after)) => {
                rejected += 1;
                now += retry_after;
            }
            Err(other) => panic!("{other:?}"),
        }
    }
    // A burst of four, then two a second. Each retry at the stated time is admitted.
    assert!(
        (122..=124).contains(&delivered) && rejected <= delivered,
        "{delivered} pages, {rejected} rejected"
    );
    // A page of half a megabyte overdraws the byte rate.
    assert!(table.request_page(now + SECOND, 1, 0, delivered).is_ok());
    let long = PageResult {
        bytes: 500_000,
        ..page_result(delivered + 1, Continuity::Continues)
    };
    table.on_page_read(now + SECOND, 1, &long);
    assert!(
        matches!(table.request_page(now + SECOND, 1, 0, delivered + 1), Err(PageRejection::TooFast(retry_after)) if retry_after > 2 * SECOND)
    );
}

#[test]
fn open_listings_of_a_tenant_are_limited_and_idle_ones_are_removed() {
    let mut table = ListingTable::new(LIMITS);
    for listing in 0..3 {
        assert!(
            table
                .request_page(NOW + listing, listing as u64, 0, 0)
                .is_ok()
        );
        table.on_page_read(
            NOW + listing,
            listing as u64,
            &page_result(1, Continuity::Continues),
        );
    }
    assert_eq!(
        table.request_page(NOW + SECOND, 7, 0, 0),
        Err(PageRejection::TooManyListings(29 * SECOND))
    );
    assert!(
        table.request_page(NOW + SECOND, 8, 1, 0).is_ok(),
        "a listing of another tenant"
    );
    assert_eq!(table.on_client_disconnected(8), Action::Discard);
    // The first listing is removed after 30 s without a request, and the retry at the stated time is admitted.
    assert!(table.request_page(NOW + 30 * SECOND, 7, 0, 0).is_ok());
    table.on_page_read(NOW + 30 * SECOND, 7, &page_result(1, Continuity::Continues));
    assert_eq!(table.state(0), None);
    // Its cursor is still accepted.
    assert!(
        table
            .request_page(NOW + 31 * SECOND, 0, 0, 1)
            .is_ok_and(|plan| plan.action == Action::Read)
    );
    assert_eq!(table.on_client_disconnected(0), Action::Discard);
    let mut removed = table.remove_idle(NOW + 62 * SECOND);
    removed.sort_unstable();
    assert_eq!((removed, table.usage()), (vec![0, 7], (0, 0)));
}

#[test]
fn repeated_requests_reread_pages_and_pages_delivered_elsewhere_are_skipped() {
    let mut table = ListingTable::new(LIMITS);
    assert!(table.request_page(NOW, 1, 0, 0).is_ok());
    assert_eq!(
        table.request_page(NOW, 1, 0, 0).map(|plan| plan.action),
        Ok(Action::Reread),
        "both request page one"
    );
    assert_eq!(
        table.on_page_read(
            NOW,
            1,
            &PageResult {
                is_reread: true,
                ..page_result(1, Continuity::Continues)
            }
        ),
        Action::Deliver
    );
    assert_eq!(
        table.on_page_read(NOW, 1, &page_result(1, Continuity::Continues)),
        Action::Deliver
    );
    // Page one again, as its response was lost; then page five, as another gateway has delivered those between.
    assert_eq!(
        table.request_page(NOW, 1, 0, 0).map(|plan| plan.action),
        Ok(Action::Reread)
    );
    let plan = table.request_page(NOW + SECOND, 1, 0, 4).unwrap();
    assert_eq!((plan.action, plan.previous_server), (Action::Read, Some(4)));
    // A timeline that lost what page four showed ends the listing for every holder of its cursor.
    assert_eq!(
        table.on_page_read(NOW, 1, &page_result(5, Continuity::Lost)),
        Action::RejectLost
    );
    assert_eq!(
        table.request_page(NOW + 2 * SECOND, 1, 0, 4),
        Err(PageRejection::Lost)
    );
}

#[test]
fn pages_are_prefetched_from_replicas_for_sequential_readers_and_discarded_when_idle() {
    let mut table = ListingTable::new(ListingLimits {
        pages_per_second: 100.0,
        bytes_per_second: 1e9,
        ..LIMITS
    });
    for page in 0..3 {
        assert!(
            page > 1 || table.try_prefetch(1, true, false, 10_000) == Action::Nothing,
            "too few sequential requests"
        );
        assert_eq!(
            table
                .request_page(NOW + page * SECOND, 1, 0, page as u32)
                .unwrap()
                .action,
            Action::Read
        );
        table.on_page_read(
            NOW + page * SECOND,
            1,
            &page_result(page as u32 + 1, Continuity::Continues),
        );
    }
    assert_eq!(
        table.try_prefetch(1, false, false, 10_000),
        Action::Nothing,
        "saves the primary no read"
    );
    assert_eq!(
        table.try_prefetch(1, true, true, 10_000),
        Action::Nothing,
        "short requests wait"
    );
    assert_eq!(
        table.try_prefetch(1, true, false, 60_000),
        Action::Nothing,
        "prefetch limit"
    );
    assert_eq!(table.try_prefetch(1, true, false, 10_000), Action::Read);
    assert_eq!(
        table.on_page_read(NOW + 2 * SECOND, 1, &page_result(4, Continuity::Continues)),
        Action::KeepPrefetched
    );
    assert_eq!(table.usage(), (1, 10_000));
    assert_eq!(
        table
            .request_page(NOW + 3 * SECOND, 1, 0, 3)
            .unwrap()
            .action,
        Action::DeliverPrefetched
    );
    assert_eq!(
        (table.usage(), table.counts.prefetched_delivered),
        ((1, 0), 1)
    );
    assert_eq!(table.try_prefetch(1, true, false, 10_000), Action::Read);
    assert_eq!(
        table.on_page_read(NOW + 3 * SECOND, 1, &page_result(5, Continuity::Continues)),
        Action::KeepPrefetched
    );
    assert_eq!(table.remove_idle(NOW + 40 * SECOND), [1]);
    assert_eq!(
        (table.usage(), table.counts.prefetched_discarded),
        ((0, 0), 1)
    );
}

#[test]
fn random_events_keep_all_limits_and_deliver_only_pages_read() {
    for seed in 0..200 {
        let mut rng = Rng::with_seed(seed);
        let mut table = ListingTable::new(LIMITS);
        let (mut now, mut reads) = (NOW, std::collections::BTreeMap::<u64, u32>::new());
        for _ in 0..400 {
            now += rng.i64(0..2 * SECOND);
            let (listing, pages) = (rng.u64(0..12), rng.u32(0..4));
            let action = match rng.u8(0..8) {
                0..=2 => match table.request_page(now, listing, (listing % 3) as usize, pages) {
                    Ok(plan) => {
                        let admitted_actions = [
                            Action::Read,
                            Action::Reread,
                            Action::DeliverPrefetched,
                            Action::Nothing,
                        ];
                        assert!(
                            admitted_actions.contains(&plan.action),
                            "{plan:?} leaves the client without a page"
                        );
                        plan.action
                    }
                    Err(
                        PageRejection::TooManyListings(retry_after)
                        | PageRejection::TooFast(retry_after),
                    ) => {
                        assert!((1..=LIMITS.max_retry_after).contains(&retry_after));
                        continue;
                    }
                    Err(PageRejection::Lost) => continue,
                },
                3 | 4 if reads.get(&listing).is_some_and(|n| *n > 0) => {
                    let continuities = [
                        Continuity::Continues,
                        Continuity::Continues,
                        Continuity::Behind,
                        Continuity::Lost,
                    ];
                    let is_last = rng.u8(0..4) == 0;
                    let result = PageResult {
                        is_last,
                        ..page_result(pages, continuities[rng.usize(0..4)])
                    };
                    let action = table.on_page_read(now, listing, &result);
                    let outstanding = reads.entry(listing).or_default();
                    assert!(
                        !matches!(action, Action::Deliver | Action::KeepPrefetched)
                            || *outstanding > 0
                    );
                    *outstanding = outstanding.saturating_sub(1);
                    action
                }
                5 => table.on_client_disconnected(listing),
                6 => table.on_read_failed(listing),
                7 => table.try_prefetch(listing, true, false, 10_000),
                _ => Action::Nothing,
            };
            *reads.entry(listing).or_default() += u32::from(action == Action::Read);
            let (listings, prefetched) = table.usage();
            assert!(
                listings <= LIMITS.max_listings
                    && prefetched <= LIMITS.max_prefetched_bytes + 10_000,
                "{listings} listings, {prefetched} bytes prefetched"
            );
        }
        table.remove_idle(now + LIMITS.idle_timeout);
        table.remove_idle(now + 2 * LIMITS.idle_timeout);
        let reading = (0..12)
            .filter(|l| table.state(*l) == Some(ListingState::Reading))
            .count();
        assert_eq!(
            table.usage(),
            (reading, 0),
            "only listings being read remain"
        );
    }
}

#[test]
fn concurrent_pages_are_limited_when_short_requests_are_late() {
    let mut limiter = PageLimiter::new(60 * SECOND);
    let mut out = String::new();
    // A hundred readers request their next page 600 ms after the last was admitted, or after the stated retry time. A
    // page takes 100 ms. Short requests are late while more than six pages are being read.
    let mut next_requests: Vec<i64> = (0..100).map(|n| NOW + n * 10).collect();
    let mut page_ends: Vec<i64> = Vec::new();
    let (mut asked, mut read, mut longest) = (0, 0, 0);
    let mut now = NOW;
    while now < NOW + 60 * SECOND {
        now += 10 * MS;
        let (ended, running): (Vec<i64>, _) = page_ends.iter().partition(|at| **at <= now);
        page_ends = running;
        ended
            .iter()
            .for_each(|_| limiter.on_page_ended(0, now, 1_000));
        (0..10).for_each(|n| limiter.on_request_ended(0, now, 1.0, page_ends.len() <= 6 || n > 1));
        for at in next_requests.iter_mut().filter(|at| **at <= now) {
            asked += 1;
            *at = match limiter.try_start_page(0, now, 0.2) {
                Ok(()) => {
                    read += 1;
                    page_ends.push(now + 1_000);
                    now + 6_000
                }
                Err(retry_after) => {
                    longest = longest.max(retry_after);
                    now + retry_after
                }
            };
        }
        if (now - NOW) % (10 * SECOND) == 0 {
            let limit = limiter.usage(0).1;
            let longest = std::mem::take(&mut longest) / MS;
            out += &format!(
                "{asked} asked, {read} read, room {limit:.1}, told {longest} ms at the most\n"
            );
            (asked, read) = (0, 0);
        }
    }
    insta::assert_snapshot!(out);
    // Even if all short requests are late, one page at a time is admitted.
    for _ in 0..400 {
        now += SECOND;
        limiter.on_request_ended(0, now, 100.0, false);
    }
    (0..limiter.usage(0).0).for_each(|_| limiter.on_page_ended(0, now, 1_000));
    assert_eq!(
        (limiter.try_start_page(0, now, 0.0), limiter.usage(0).1),
        (Ok(()), 1.0)
    );
}

/// Clients present their cursors to gateways of other versions, so the signed text must not change.
#[test]
fn signed_cursors_have_the_text_that_the_released_program_writes() {
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
