# Shared by the scripts: packages, building, and where things are. Sourced, not
# run. TULIPWEIR_JOBS is the one variable for parallelism.
JOBS="${TULIPWEIR_JOBS:-8}"

PACKAGES=(
  cmake ninja-build g++ ccache clang-format clang-tidy curl
  libboost1.74-dev libmsgpack-cxx-dev nlohmann-json3-dev libcxxopts-dev
  libspdlog-dev libfmt-dev libgtest-dev libgmock-dev libsodium-dev
  libxxhash-dev libbenchmark-dev
)

# Prints one step's name, with the seconds since the script began.
step() { printf -- '== [%4ds] %s\n' "$SECONDS" "$*"; }

as_root() {
  if [ "$(id -u)" -eq 0 ]; then "$@"; else sudo -n "$@"; fi
}

# Installs those of PACKAGES that are missing.
install_packages() {
  local Missing=() Package
  for Package in "${PACKAGES[@]}"; do
    dpkg-query -W -f '${Status}' "$Package" 2>/dev/null |
      grep -q 'install ok installed' || Missing+=("$Package")
  done
  [ "${#Missing[@]}" -eq 0 ] && return 0
  step "installing ${Missing[*]}"
  as_root env DEBIAN_FRONTEND=noninteractive apt-get update -qq </dev/null &&
    as_root env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
      --no-install-recommends "${Missing[@]}" </dev/null >/dev/null
}

# build FOLDER [CMAKE_FLAG...]: configures and builds everything in FOLDER.
build() {
  local Folder="$1"
  shift
  mkdir -p "$Folder"
  cmake -G Ninja -S . -B "$Folder" "$@" >"$Folder/configure.log" 2>&1 || {
    cat "$Folder/configure.log"
    return 1
  }
  ninja -C "$Folder" -j "$JOBS" ${TARGETS:-} >"$Folder/build.log" 2>&1 || {
    grep -E -A 12 'error|FAILED' "$Folder/build.log" | head -n 120
    return 1
  }
}
