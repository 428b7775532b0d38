/** What to do after each failure; printed below the message and listed in docs/errors.md. */
const ADVICE: Readonly<Record<string, string>> = {
  'config-invalid': 'Nothing was changed. Correct the lines named above and check again.',
  'change-conflict': 'Nothing was changed. See `lentilwheel history` for the other change.',
  'base-version-not-kept': 'Nothing was changed.',
  'settings-invalid': 'Correct the settings file.',
  'layout-invalid': 'Correct the layout file, or leave out --layout for the default.',
  'hash-mismatch': 'The platform holds damaged objects. Restore them, or apply the whole configuration again.',
  'platform-unreachable': 'Check the address and the network. What is in force stays in force; while the platform is ' +
    'down, `status`, `moves`, `refusals` and `timeline` can read a daemon with --daemon <admin address>.',
  'platform-bad-answer': 'Check that the platform address names the object API and not a gateway or a web page.',
  'platform-conflict': 'Others are changing the configuration at this moment. Run the command again.',
  'platform-outcome-unknown': 'Look for the change id in `lentilwheel history` once the platform answers.',
  'platform-budget-exhausted': 'Wait a few seconds and run the command again.',
  'daemon-unreachable': 'Check the address: the admin side listens on loopback of the daemon\'s host (adminPort).',
  'daemon-bad-answer': 'Check that the address is the admin side of a daemon, not its port for calls.',
  'daemon-protocol-unknown': 'Use the `lentilwheel` that was released with the daemon.',
  'move-not-found': 'See `lentilwheel moves` for the moves there are.',
  'move-ended': 'Apply a configuration with a new move to change the traffic again.',
  'move-control-refused': 'See `lentilwheel moves` for the state of each move.',
  'not-in-force-everywhere': 'The version stays accepted and daemons keep fetching it. See `lentilwheel status`.',
  'request-not-logged': 'Give the logs of all daemons. Lines of requests that went as planned are left out under load.',
  usage: 'See `lentilwheel --help`, or `lentilwheel <command> --help` for an example.'
}

/** The next step after a failure with this code; undefined if the message itself says it. */
export function adviceFor (code: string): string | undefined {
  return Object.hasOwn(ADVICE, code) ? ADVICE[code] : undefined
}
