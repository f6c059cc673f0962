#!/bin/sh
# Builds what the cases run: the project's stand-ins into dist/ and the programs of the deploy file into target/.
set -e
cd "$(dirname "$0")/.."
npm run --silent build
sh -c "$(node -e '
  const text = require("node:fs").readFileSync("deploy/system.toml", "utf8");
  console.log(JSON.parse(/^build = (".*")$/m.exec(text)[1]));
')"
