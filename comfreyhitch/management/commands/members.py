"""List the members that one daemon knows."""

import json
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import option
from geventhttpclient import HTTPClient

from comfreyhitch.management.common import report_input_errors
from comfreyhitch.management.exit_codes import ExitCode

TIMEOUT_SECONDS = 5.0


class MembersCommand(Command):
    """Print the members in one daemon's membership view."""

    name = "members"
    description = "List the daemons that one daemon knows, with their targets"
    options: ClassVar = [
        option("admin", None, "admin address of the daemon", flag=False, default="127.0.0.1:8082"),
        option("json", None, "print JSON"),
    ]
    help = "    comfreyhitch members --admin 10.0.0.7:8082"

    def handle(self) -> int:
        """Read the members from the daemon's admin port, and print them."""
        host, _, port = self.option("admin").rpartition(":")
        if not host or not port.isdigit():
            return report_input_errors(
                self, [f"--admin: {self.option('admin')!r} is not in the form host:port"]
            )
        client = HTTPClient(host, int(port), network_timeout=TIMEOUT_SECONDS, concurrency=1)
        try:
            members = json.loads(client.get("/v1/members").read())
        except (OSError, ValueError) as error:
            self.line_error(f"{self.option('admin')}: {error}")
            return ExitCode.UNAVAILABLE
        finally:
            client.close()
        if self.option("json"):
            self.line(json.dumps(members, indent=2))
            return ExitCode.OK
        for member in members:
            drain = " draining" if member["draining"] else ""
            target = f"{member['service'] or '-'} {member['version'] or '-'}"
            self.line(
                f"{member['address']} {member['zone']} {member['status']} {target}"
                f" slots={member['slots']}{drain}"
            )
        return ExitCode.OK
