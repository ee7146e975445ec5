//! Tests which software versions may begin streams and go on with them.

use std::time::Duration;

use eelgrasshill_domain::{FastSet, HostName, Moment, PoolName, ZoneName};
use eelgrasshill_relay::{
    BaseVersion, BaseWish, EngineRests, EngineSpeeds, Era, KnownUpstreams, PresentVersion,
    Resolution, SelectionSettings, SoftwareVersion, SoftwareVersions, StartRule, StreamId,
    StreamRecord, StreamVersions, Upstream, UpstreamHealth, UpstreamLoads, UpstreamQuery,
    UpstreamSelector, VersionSource,
};

/// Longest timeout of the routes; the horizon is 20 s.
const TIMEOUT: Duration = Duration::from_secs(17);

const STREAM: StreamId = StreamId(7);

fn version(text: &str) -> SoftwareVersion {
    SoftwareVersion::new(text).expect("the version is short")
}

fn pool() -> PoolName {
    PoolName::new("p").expect("the name is valid")
}

fn in_first_era(text: &str) -> BaseVersion {
    BaseVersion {
        version: version(text),
        era: Era::default(),
    }
}

/// A host with its clock, which notes the versions of each step for some time.
struct Host {
    versions: SoftwareVersions,
    now: Moment,
}

impl Host {
    fn new() -> Self {
        let now = Moment(1_000);
        let mut versions = SoftwareVersions::new(now);
        versions.raise_horizon(TIMEOUT);
        Self { versions, now }
    }

    /// Notes the versions at each quarter of a second.
    fn see(&mut self, present: &str, millis: u64) {
        let rows = present.split_whitespace().zip(1..);
        let rows: Vec<_> = rows
            .map(|(text, started_ms)| PresentVersion {
                version: version(text),
                started_ms,
                takes_requests: true,
            })
            .collect();
        self.versions.note_present(&pool(), &rows, self.now);
        for _tick in 0..millis / 250 {
            self.now = self.now.after(Duration::from_millis(250));
            self.versions.note_view(Some(self.now), self.now);
            self.versions.note_present(&pool(), &rows, self.now);
        }
    }

    fn read_base(&mut self, base: Option<&str>) {
        self.versions
            .note_base(&pool(), base.map(in_first_era), self.now);
    }

    fn starts(&self) -> String {
        let rule = |text| match self.versions.start(&pool(), &version(text), self.now) {
            StartRule::Unwritten => 'u',
            StartRule::Written => 'w',
            StartRule::NotYet => '-',
        };
        ["a", "b"].into_iter().map(rule).collect()
    }

    fn wish(&self) -> String {
        let wish = self.versions.wants_base(&pool(), Some(self.now), self.now);
        match wish {
            None => String::new(),
            Some(BaseWish::Read) => "read".to_owned(),
            Some(BaseWish::Propose(version)) => version.to_string(),
        }
    }

    fn allowed(&self) -> Option<SoftwareVersion> {
        self.versions.allowed_for_new(&pool(), self.now)
    }

    fn resolve(&self) -> Resolution {
        self.versions
            .resolve(Some(STREAM), &pool(), Some(self.now), self.now)
    }

    fn resolve_read(&self) -> Option<(SoftwareVersion, VersionSource)> {
        self.versions.resolve_read(Some(STREAM), &pool(), self.now)
    }
}

/// Views of the pool with the time that each lasts; `=x` reads base x, and `=` finds none.
///
/// In the step `later` time passes without a view.
fn play(steps: &[(&str, u64)]) -> Host {
    let mut host = Host::new();
    for (step, millis) in steps {
        if *step == "later" {
            host.now = host.now.after(Duration::from_millis(*millis));
            continue;
        }
        match step.strip_prefix('=') {
            Some("") => host.read_base(None),
            Some(base) => host.read_base(Some(base)),
            None => host.see(step, *millis),
        }
    }
    host
}

#[test]
fn streams_begin_where_all_hosts_find_them() {
    // Steps, rules of versions a and b, wish, version that new streams are limited to.
    let cases: [(&[_], _, _, _); 11] = [
        (&[], "--", "", None),
        (&[("a", 0)], "u-", "read", None),
        (&[("a", 0), ("=", 0)], "u-", "a", None),
        (&[("a", 0), ("=a", 0)], "u-", "", None),
        // Two versions at the start: none begins before the base is known.
        (&[("b a", 0), ("=", 0)], "--", "b", None),
        (&[("a b", 0), ("=b", 0)], "wu", "", None),
        // A new version beside the base.
        (&[("a", 0), ("=a", 0), ("a b", 1_250)], "u-", "", Some("a")),
        (
            &[("a", 0), ("=a", 0), ("a b", 1_500)],
            "u-",
            "read",
            Some("a"),
        ),
        (
            &[("a", 0), ("=a", 0), ("a b", 1_500), ("=a", 0)],
            "uw",
            "",
            None,
        ),
        // The base has been gone for less, and for more than the horizon.
        (
            &[("a", 0), ("=a", 0), ("b", 20_000), ("=a", 0)],
            "uw",
            "",
            None,
        ),
        (
            &[("a", 0), ("=a", 0), ("b", 20_250), ("=a", 0)],
            "-w",
            "b",
            None,
        ),
    ];
    for (steps, starts, wish, allowed) in cases {
        let host = play(steps);
        assert_eq!(host.starts(), starts, "{steps:?}");
        assert_eq!(host.wish(), wish, "{steps:?}");
        assert_eq!(host.allowed(), allowed.map(version), "{steps:?}");
    }
}

#[test]
fn taken_up_streams_go_on_at_their_version() {
    let only = Resolution::Known(version("a"), VersionSource::OnlyVersion);
    let cases: [(&[_], _, _); 5] = [
        // A host that has just started may have missed a version.
        (&[("a", 19_750), ("=a", 0)], Resolution::Read, Some("a")),
        (&[("a", 20_000), ("=a", 0)], only.clone(), Some("a")),
        (&[("a", 20_000), ("=", 0)], only, None),
        (&[("a b", 20_000), ("=a", 0)], Resolution::Read, Some("a")),
        (
            &[("a b", 0), ("a", 20_000), ("=a", 0)],
            Resolution::Read,
            Some("a"),
        ),
    ];
    for (steps, resolution, read) in cases {
        let host = play(steps);
        assert_eq!(host.resolve(), resolution, "{steps:?}");
        let base = read.map(|text| (version(text), VersionSource::Base));
        assert_eq!(host.resolve_read(), base, "{steps:?}");
    }
    let mut host = play(&[("a b", 20_000), ("=a", 0)]);
    let record = |text| StreamVersions {
        pool: pool(),
        version: version(text),
        streams: vec![StreamRecord(STREAM, 1)],
    };
    host.versions
        .note_records(&[record("a"), record("b")], host.now);
    assert_eq!(host.resolve(), Resolution::Read);
    assert_eq!(
        host.resolve_read(),
        Some((version("b"), VersionSource::Log))
    );
    host.versions
        .note_stream(STREAM, &pool(), &version("b"), host.now);
    host.versions.note_records(&[record("a")], host.now);
    let own = Resolution::Known(version("b"), VersionSource::Memory);
    assert_eq!(host.resolve(), own);
    host.now = host.now.after(Duration::from_millis(20_001));
    host.versions.expire(host.now);
    assert_eq!(host.versions.stream_count(), 0);
}

#[test]
fn a_restore_leaves_only_records_and_memory() {
    let mut host = play(&[("a b", 20_000), ("=a", 0)]);
    let begin = |host: &mut Host, stream, has_record| {
        host.versions
            .begin(stream, &pool(), &version("a"), has_record, host.now)
    };
    let rewritten = [StreamVersions {
        pool: pool(),
        version: version("a"),
        streams: vec![StreamRecord(STREAM, host.now.0)],
    }];
    assert_eq!(begin(&mut host, STREAM, false), StartRule::Unwritten);
    assert_eq!(begin(&mut host, STREAM, true), StartRule::Written);
    host.versions.note_doubtful([STREAM, StreamId(8)]);
    assert_eq!(begin(&mut host, STREAM, false), StartRule::Written);
    assert_eq!(host.versions.take_rewrites(9, host.now), rewritten);
    assert!(!host.versions.note_era(Era(1), host.now));
    // The restore may have lost the base, and records with it.
    assert_eq!(host.versions.base_era(host.now), Era(0));
    assert!(host.versions.note_era(Era(2), host.now));
    assert!(!host.versions.note_era(Era(2), host.now));
    assert_eq!(
        (host.wish().as_str(), host.starts().as_str()),
        ("read", "uw")
    );
    // Own streams are written again, once, when appends succeed.
    host.versions.note_append(false);
    assert_eq!(host.versions.take_rewrites(9, host.now), []);
    let other = StreamId(9);
    assert_eq!(begin(&mut host, other, false), StartRule::Unwritten);
    host.versions.note_append(true);
    assert_eq!(host.versions.take_rewrites(9, host.now), rewritten);
    assert_eq!(host.versions.take_rewrites(9, host.now), []);
    // A missing record says nothing until the base is written in this era.
    assert_eq!(begin(&mut host, other, false), StartRule::Written);
    // The base from before the restore is written again.
    host.read_base(None);
    assert_eq!(host.wish(), "a");
    host.read_base(Some("a"));
    let read = |host: &Host| {
        host.versions
            .resolve_read(Some(StreamId(8)), &pool(), host.now)
    };
    assert_eq!(read(&host), None);
    host.see("a b", 20_250);
    assert_eq!(read(&host), Some((version("a"), VersionSource::Base)));
}

/// Guards against hosts that take the only version which they have seen for that of all streams.
#[test]
fn a_version_may_have_come_and_gone_while_a_host_saw_nothing() {
    let mut host = play(&[("a", 20_000), ("=a", 0), ("later", 15_000), ("a", 250)]);
    assert_eq!(host.resolve(), Resolution::Read);
    host.see("a", 20_000);
    assert!(matches!(host.resolve(), Resolution::Known(..)));
    let stale = Some(Moment(1));
    host.versions.note_view(stale, host.now);
    assert_eq!(host.resolve(), Resolution::Read);
}

/// Guards against streams without a record at a version that another host takes for another base.
#[test]
fn a_version_beside_an_unconfirmed_base_is_written() {
    let cases: [&[_]; 2] = [
        // The keeper was late, and the base could not be read again.
        &[
            ("a", 2_000),
            ("=a", 0),
            ("b", 22_000),
            ("later", 1_750),
            ("b", 0),
        ],
        // The pool was empty for the horizon.
        &[("a", 2_000), ("=a", 0), ("", 22_000), ("b", 0)],
    ];
    for steps in cases {
        let host = play(steps);
        let rule = host.versions.start(&pool(), &version("b"), host.now);
        assert_eq!(rule, StartRule::Written, "{steps:?}");
    }
}

/// Guards against a base that changed while the host was cut off, and refusals after a short stop.
#[test]
fn the_base_is_read_again_after_a_long_gap_only() {
    for (millis, is_stopped, expected) in [
        (2_000, true, "uw "),
        (12_000, true, "-- read"),
        (2_000, false, "uw "),
        (12_000, false, "-- read"),
    ] {
        let mut host = play(&[("a b", 3_000), ("=a", 0), ("a b", 3_000)]);
        let stale = Some(host.now);
        for _tick in 0..millis / 250 {
            host.now = host.now.after(Duration::from_millis(250));
            if !is_stopped {
                host.versions.note_view(stale, host.now);
                host.see("a b", 0);
            }
        }
        host.versions.note_view(Some(host.now), host.now);
        host.see("a b", 0);
        let seen = format!("{} {}", host.starts(), host.wish());
        assert_eq!(seen, expected, "{millis} {is_stopped}");
    }
}

/// Guards against an append without an answer that is carried out after the one which replaced it.
#[test]
fn a_late_record_does_not_replace_a_newer_one() {
    let record = |text, revision| StreamVersions {
        pool: pool(),
        version: version(text),
        streams: vec![StreamRecord(STREAM, revision)],
    };
    let mut host = play(&[("a b", 20_000), ("=a", 0)]);
    let records = [record("a", 2), record("b", 1)];
    host.versions.note_records(&records, host.now);
    let expected = Some((version("a"), VersionSource::Log));
    assert_eq!(host.resolve_read(), expected);
}

/// Guards against streams that wait for appends which are known to fail.
#[test]
fn streams_begin_at_the_base_until_an_append_succeeds() {
    let mut host = play(&[("a b", 0), ("=a", 0)]);
    assert_eq!(host.allowed(), None);
    host.versions.note_append_sent(host.now);
    host.see("a b", 250);
    assert_eq!(host.allowed(), None);
    host.see("a b", 250);
    assert_eq!(host.allowed(), Some(version("a")));
    host.versions.note_append(false);
    host.see("a b", 5_000);
    assert_eq!(host.allowed(), Some(version("a")));
    host.versions.note_append(true);
    assert_eq!(host.allowed(), None);
}

/// Guards against bound streams that are sent or picked to another version.
#[test]
fn a_bound_stream_gets_upstreams_of_its_version_only() {
    let now = Moment(1);
    let name = |text: &str| HostName::new(text).expect("the name is valid");
    let zone = ZoneName::new("z").expect("the name is valid");
    let mut upstreams = KnownUpstreams::default();
    for id in ["a", "b"] {
        let upstream = Upstream {
            id: name(id),
            pool: pool(),
            zone: zone.clone(),
            address: "127.0.0.1:1".parse().expect("the address is valid"),
            slots: 1,
            leaving: false,
            started_ms: 1,
            software: version(id),
            holdings: Vec::new(),
            memory: Vec::new(),
            disk: Vec::new(),
            cold_remaining: Duration::ZERO,
        };
        upstreams.insert(upstream, now);
    }
    let selector = UpstreamSelector {
        upstreams: &upstreams,
        loads: &UpstreamLoads::default(),
        health: &UpstreamHealth::default(),
        rests: &EngineRests::default(),
        speeds: &EngineSpeeds::new(38),
        zone: &zone,
        settings: &SelectionSettings::default(),
    };
    for (bound, expected) in [
        (None, "ab"),
        (Some("a"), "a"),
        (Some("b"), "b"),
        (Some("c"), ""),
    ] {
        let software = bound.map(version);
        let query = UpstreamQuery {
            pool: &pool(),
            model: None,
            adapter: None,
            rank: 0,
            tried: &FastSet::default(),
            homes: None,
            software: software.as_ref(),
        };
        let usable = |id: &&str| selector.usable(&query, &name(id), now).is_some();
        assert_eq!(
            ["a", "b"]
                .iter()
                .filter(|id| usable(id))
                .copied()
                .collect::<String>(),
            expected
        );
        // The holder that the host knows of is not added if it runs another version.
        let picks = selector.pick_candidates(&query, &name("a"), now);
        let mut ids: Vec<_> = picks.iter().map(|pick| pick.upstream.id.as_str()).collect();
        ids.sort_unstable();
        assert_eq!(ids.concat(), expected, "picks for {bound:?}");
        assert_eq!(
            selector.choose(&query, |_| 0, now).is_ok(),
            !expected.is_empty()
        );
    }
}
