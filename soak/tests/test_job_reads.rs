//! Each promise about the results of a job is broken in made-up reads, and shows as just that.

use std::time::Duration;

use soak::content;
use soak::job_reads::FULL_AND_OPEN_TIME;
use soak::job_reads::JobReads;
use soak::job_reads::ReadPage;
use soak::jobs::ItemResult;
use soak::jobs::JobRecord;

const FRONTS: usize = 2;
const SECOND: Duration = Duration::from_secs(1);

fn items() -> Vec<String> {
    let ids = (0..).map(|number| format!("{}-lot-{number}", content::ITEM_PREFIX));
    ids.filter(|id| !content::is_poison(id)).take(4).collect()
}

fn result(id: &str) -> ItemResult {
    ItemResult {
        id: id.to_owned(),
        state: "done".to_owned(),
        output: content::whole_output(id, "v1"),
    }
}

fn reads() -> JobReads {
    let job = JobRecord {
        id: "lot".to_owned(),
        items: items(),
        ..JobRecord::default()
    };
    JobReads::new(job, FRONTS)
}

/// Reads at `front` the items with `numbers` from position `after` on, at the given second.
fn read(reads: &mut JobReads, front: usize, after: usize, numbers: &[usize], second: u32) {
    let ids = items();
    let page = ReadPage {
        front,
        after,
        results: numbers.iter().map(|number| result(&ids[*number])).collect(),
        sent: SECOND * second,
    };
    reads.note_page(page, SECOND * second);
}

/// Rules that `reads` broke, without what broke them.
fn rules(reads: &JobReads) -> Vec<&str> {
    let lines = reads.broken.iter();
    lines
        .filter_map(|line| Some(line.split_once(": ")?.0))
        .collect()
}

#[test]
fn test_job_read_whole_at_each_front() {
    let mut reads = reads();
    read(&mut reads, 0, 0, &[2, 0], 1);
    read(&mut reads, 1, 1, &[0], 2);
    read(&mut reads, 0, 2, &[1, 3], 3);
    read(&mut reads, 1, 0, &[2, 0, 1, 3], 4);
    assert!(reads.job.is_complete());
    assert!(!reads.is_read());
    reads.note_state(false, Duration::ZERO, SECOND * 5);
    read(&mut reads, 0, 1, &[0, 1, 3], 6);
    assert!(!reads.is_read());
    read(&mut reads, 1, 4, &[], 7);
    assert!(reads.is_read());
    reads.conclude_state(false);
    assert_eq!(reads.broken, Vec::<String>::new());
}

#[test]
fn test_item_at_two_positions() {
    let mut reads = reads();
    read(&mut reads, 0, 0, &[0, 1, 0, 2], 1);
    assert_eq!(rules(&reads), ["TWICE"]);
    assert!(!reads.job.is_complete(), "three of four items");
    read(&mut reads, 0, 0, &[0, 1, 0, 2], 2);
    assert_eq!(rules(&reads), ["TWICE"], "noted once");
}

#[test]
fn test_other_result_at_another_front() {
    let mut reads = reads();
    read(&mut reads, 0, 0, &[0, 1], 1);
    read(&mut reads, 1, 1, &[2], 2);
    assert_eq!(rules(&reads), ["TWICE"]);
    assert!(reads.broken[0].contains("front 1, first listed by front 0"));
}

#[test]
fn test_position_that_changes() {
    let mut reads = reads();
    read(&mut reads, 0, 0, &[0], 1);
    read(&mut reads, 0, 0, &[1], 2);
    assert_eq!(rules(&reads), ["TWICE"]);
}

#[test]
fn test_result_that_does_not_come_again() {
    let mut reads = reads();
    read(&mut reads, 0, 0, &[0, 1], 1);
    read(&mut reads, 1, 1, &[], 2);
    assert_eq!(
        rules(&reads),
        Vec::<&str>::new(),
        "fronts may be a second behind"
    );
    read(&mut reads, 0, 1, &[], 3);
    assert_eq!(rules(&reads), ["LOST"]);
    read(&mut reads, 1, 1, &[], 4);
    assert_eq!(rules(&reads), ["LOST", "LOST"], "at another front");
}

#[test]
fn test_job_full_and_open() {
    let mut reads = reads();
    read(&mut reads, 0, 0, &[0, 1, 2, 3], 1);
    let end = SECOND + FULL_AND_OPEN_TIME;
    reads.note_state(true, Duration::ZERO, end);
    reads.note_state(true, SECOND * 2, end + SECOND / 2);
    assert_eq!(rules(&reads), Vec::<&str>::new());
    reads.note_state(true, Duration::ZERO, end + SECOND / 2);
    reads.note_state(true, Duration::ZERO, end + SECOND);
    assert_eq!(rules(&reads), ["OPEN"]);
}

#[test]
fn test_jobs_that_end_badly() {
    let mut short = reads();
    read(&mut short, 0, 0, &[0, 1, 2], 1);
    short.conclude_state(true);
    assert_eq!(rules(&short), ["LOST"]);

    let mut open = reads();
    read(&mut open, 0, 0, &[0, 1, 2, 3], 1);
    open.conclude_state(true);
    assert_eq!(rules(&open), ["OPEN"]);

    let mut unread = reads();
    read(&mut unread, 0, 0, &[0, 1, 2, 3], 1);
    unread.note_state(false, Duration::ZERO, SECOND * 2);
    read(&mut unread, 0, 0, &[0, 1, 2, 3], 3);
    unread.conclude_state(false);
    assert_eq!(rules(&unread), ["LOST"], "front 1 was not read");
}
