#!/bin/sh
# The operators' `build`: puts into .venv what requirements.txt pins, and leaves it alone where that is there and whole.
# The stamp is what was installed and is written last, so a build that was cut off, or one of older pins, is made
# anew; the imports find a .venv whose interpreter has gone or changed. A second build waits for the first.
set -eu
cd "$(dirname "$0")/.."
exec 9<requirements.txt
flock 9
whole() {
    cmp -s requirements.txt .venv/built && .venv/bin/python -c "import $(sed 's/==.*//' requirements.txt | paste -sd,)" 2>/dev/null
}
whole && exit 0
python3 -m venv --clear .venv
.venv/bin/python -m pip -q install -r requirements.txt
cp requirements.txt .venv/building
mv .venv/building .venv/built   # in one step: a stamp is whole or missing
whole
