//! A gang that has to be spread over two zones is accepted in a deployment of one zone.

use crate::cluster::{trouble, Cluster, BROKEN, COULD_NOT_RUN, HELD};
use crate::codec::{s, V};
use crate::site::{athens, job};
use std::path::Path;
use std::time::Duration;

pub fn run(root: &Path, record: &Path) -> i32 {
    const WATCHED_S: f64 = 112.0;
    let mut c = Cluster::new(root, athens(), 3);
    for _ in 0..2 {
        c.world.add_machine(1, "attica-hall", false, Duration::ZERO);
    }
    c.start_all();
    if !c.ready() {
        return c.finish(record, COULD_NOT_RUN);
    }
    let mut spec = job("wk-000001", "duty-desk", 2, 2.0, 6.2);
    spec.set("JobKind", s("group"));
    spec.set("Spread", V::Bool(trouble()));
    let status = c.submit(0, &spec, 10.0);
    if status == 422 {
        return c.finish(record, HELD);
    }
    if status != 201 {
        return c.finish(record, COULD_NOT_RUN);
    }
    let done = c.wait(WATCHED_S - c.elapsed(), |c| {
        c.world.lock().jobs["wk-000001"].done.len() == 2
    });
    let starts = c.world.lock().jobs["wk-000001"].starts;
    let (status, answer) = c.poll(0, "wk-000001");
    c.world.note(&format!(
        "poll: {status} {}; tasks started: {starts}",
        answer.text("Phase")
    ));
    c.finish(record, if done || starts > 0 { HELD } else { BROKEN })
}
