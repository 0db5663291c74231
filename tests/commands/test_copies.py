"""The command that shows which hosts have caught up with the store."""

from almondspindle.commands.copies import CopyModel, HostModel, format_copies


def copy_of(era: int, revision: int, changed: int, retained: int = 0) -> CopyModel:
    return CopyModel(era, revision, era, changed, 1.5, 3, retained, 0.2)


def test_a_host_of_an_earlier_era_or_without_the_last_change_is_behind():
    lines = format_copies(
        [
            HostModel("h1", {"targets": copy_of(2, 120, 110)}),
            HostModel("h2", {"targets": copy_of(1, 900, 800)}),
            HostModel("h3", {"targets": copy_of(2, 105, 90, retained=1)}),
            HostModel("10.0.0.4:7341", failure="refused"),
        ]
    )
    assert lines == [
        "h1 targets: era 2 for 1.5 s, revision 120, 3 records, confirmed 0.2 s ago",
        "h2 targets: era 1 for 1.5 s, revision 900, 3 records, confirmed 0.2 s ago"
        " - behind: the store is in era 2",
        "h3 targets: era 2 for 1.5 s, revision 105, 3 records, 1 of them missing from the store,"
        " confirmed 0.2 s ago - behind: another host has the change of revision 110",
        "10.0.0.4:7341: no copies: refused",
        "2 behind, 1 caught up, 1 unknown",
    ]
