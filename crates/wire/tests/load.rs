//! Tests of the text of a load report.

use savorylane_wire::Load;

/// Guards against daemons of two versions that cannot read each other's
/// reports.
#[test]
fn missing_fields_at_the_end_stand_for_zero() {
    let load = Load {
        running: 6,
        queued: 2,
        limit: 6,
        service_us: 90_000,
        version: 7,
        list: 9,
        reserve_above: 65_536,
        late: 5,
        ..Load::default()
    };
    let text = load.to_string();
    assert_eq!(text.parse(), Ok(load));
    let fields: Vec<&str> = text.split(' ').collect();
    let expected = [
        Load { late: 0, ..load },
        Load {
            late: 0,
            reserve_above: 0,
            ..load
        },
        Load {
            late: 0,
            reserve_above: 0,
            list: 0,
            ..load
        },
        Load {
            late: 0,
            reserve_above: 0,
            list: 0,
            version: 0,
            ..load
        },
    ];
    for (missing, expected) in expected.into_iter().enumerate() {
        let shorter = fields[..fields.len() - missing - 1].join(" ");
        assert_eq!(shorter.parse(), Ok(expected), "{shorter}");
    }
    assert!(fields[..5].join(" ").parse::<Load>().is_err());
}
