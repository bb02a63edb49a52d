//! A gang whose slowest image fetch takes longer than `gang_wait_s`: the member that waits exits, the
//! others are killed, the fetch is given up, and the next attempt begins it anew.

use crate::cluster::{trouble, Cluster, BROKEN, COULD_NOT_RUN, HELD};
use crate::codec::{s, V};
use crate::site::{athens, job};
use std::path::Path;
use std::time::Duration;

pub fn run(root: &Path, record: &Path) -> i32 {
    const IMAGE_GB: f64 = 15.0;
    const WATCHED_S: f64 = 112.0;
    let mut c = Cluster::new(root, athens(), 3);
    let with_image = c.world.add_machine(1, "attica-hall", false, Duration::ZERO);
    let without = c.world.add_machine(1, "attica-hall", false, Duration::ZERO);
    c.world.cache_image(with_image, "img-07", IMAGE_GB);
    // Give or take a third: 75 s for the image, or 37.5 s.
    let share = if trouble() { 2.0 / 3.0 } else { 4.0 / 3.0 };
    c.world.lock().machines[without].fetch_share = share;
    c.start_all();
    if !c.ready() {
        return c.finish(record, COULD_NOT_RUN);
    }
    let mut spec = job("wk-000001", "duty-desk", 2, 20.0, 60.0);
    spec.set("JobKind", s("group"));
    spec.set("ImageRef", s("img-07"));
    spec.set("PullGb", V::F(IMAGE_GB));
    spec.set("HostTypes", V::L(vec![s("pick-server")]));
    if c.submit(0, &spec, 10.0) != 201 {
        return c.finish(record, COULD_NOT_RUN);
    }
    let done = c.wait(WATCHED_S - c.elapsed(), |c| {
        c.world.lock().jobs["wk-000001"].done.len() == 2
    });
    let text = c.world.lock().record.join("\n");
    let incomplete = text.matches(": incomplete").count();
    let (status, answer) = c.poll(0, "wk-000001");
    let phase = answer.text("Phase");
    c.world.note(&format!(
        "poll: {status} {phase}; attempts that ended incomplete: {incomplete}"
    ));
    let code = if done || incomplete < 2 { HELD } else { BROKEN };
    c.finish(record, code)
}
