# bergamotplank.  "make demo" and "make check" install the packages they need.

PACKAGES = gcc make pkg-config clang-format clang-tidy protobuf-c-compiler \
	libglib2.0-dev libsoup-3.0-dev libyajl-dev libprotobuf-c-dev \
	libargtable2-dev libtalloc-dev libxxhash-dev libgsl-dev \
	libnghttp2-dev libcurl4-openssl-dev mandoc
MODULES = glib-2.0 gio-2.0 gio-unix-2.0 libsoup-3.0 yajl libprotobuf-c \
	talloc libxxhash gsl libnghttp2

CC = gcc
CFLAGS = -O2 -g
WARN = -std=gnu11 -Wall -Wextra -Wshadow -Wstrict-prototypes \
	-Wmissing-prototypes -Wno-missing-field-initializers -Werror
CPPFLAGS = -Isrc -Igen -Iplatform `pkg-config --cflags $(MODULES)`
LIBS = `pkg-config --libs $(MODULES)` -largtable2 -lm
BUILD = build

GEN = $(wildcard gen/*.c)
SRC = $(wildcard src/*.c src/proxy/*.c platform/*.c)
DECIDE = $(wildcard src/decide/*.c)
MAIN = src/main.c

GEN_O = $(GEN:%.c=$(BUILD)/%.o)
LIB_O = $(filter-out $(BUILD)/src/main.o,$(SRC:%.c=$(BUILD)/%.o)) \
	$(DECIDE:%.c=$(BUILD)/%.o) $(GEN_O)
BIN = $(BUILD)/bergamotplank
TEST_LIBS = `pkg-config --libs libcurl`
TOOLS_O = $(patsubst %,$(BUILD)/tools/%.o, \
	eventq failover_model fleet history load model_plan model_pool proxy_model \
	proxy_model_dbs proxy_model_open proxy_model_orders \
	proxy_model_lists proxy_model_members proxy_model_peers \
	proxy_model_reads proxy_model_records proxy_model_role \
	proxy_model_sequences proxy_model_unrecorded \
	quantile queuesim read_model read_model_dbs read_plan)
FAKES = $(BUILD)/fakedb $(BUILD)/fakeplatform $(BUILD)/fakesite

all: $(BIN) $(FAKES)

# Install missing packages.
deps:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || { apt-get update && \
	    DEBIAN_FRONTEND=noninteractive apt-get install -y \
	    --no-install-recommends $(PACKAGES); }

# Install packages, build, and run a fleet under load; exits 0 if no guarantee
# was violated.
demo: deps
	@$(MAKE) --no-print-directory -j4 all $(BUILD)/demo
	$(BUILD)/demo

# Install packages, build with warnings as errors, check the format, lint and
# test.
check: deps
	@$(MAKE) --no-print-directory -j4 tests $(TOOLS:%=$(BUILD)/%)
	@$(MAKE) --no-print-directory lint
	@$(MAKE) --no-print-directory fuzz-input
	tests/run.sh $(TESTS:%=$(BUILD)/%)

lint:
	clang-format --dry-run -Werror $(FORMATTED)
	printf '%s\n' $(filter %.c,$(FORMATTED)) | xargs -P 4 -n 3 \
	    sh -c 'clang-tidy --quiet "$$@" -- -std=gnu11 $(CPPFLAGS) \
	    `pkg-config --cflags libcurl`' tidy 2>/dev/null
	mandoc -T lint -W warning man/*

$(BUILD)/gen/%.o: gen/%.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -std=gnu11 $(CPPFLAGS) -MMD -MP -c -o $@ $<

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) $(WARN) $(CPPFLAGS) -MMD -MP -c -o $@ $<

$(BUILD)/libbergamotplank.a: $(LIB_O)
	@rm -f $@
	ar rcs $@ $^

$(BIN): $(BUILD)/src/main.o $(BUILD)/libbergamotplank.a
	$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/fakesite: $(BUILD)/tests/fake/fakestore.o \
    $(BUILD)/tests/fake/fakegroup.o
$(BUILD)/fakedb: $(BUILD)/tests/fake/fakelog.o $(BUILD)/tests/fake/fakerepl.o
$(BUILD)/fake%: $(BUILD)/tests/fake/fake%.o $(BUILD)/libbergamotplank.a
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(LIBS)

TOOLS = demo bench slopes measure fuzz hunt_model

$(TOOLS:%=$(BUILD)/%): $(BUILD)/%: $(BUILD)/tools/%.o $(TOOLS_O) \
    $(BUILD)/libbergamotplank.a
	$(CC) $(CFLAGS) -o $@ $^ $(LIBS) $(TEST_LIBS)

# The longest first, as they run side by side.
TESTS = t_members_model t_lists_model t_proxy_model t_unrecorded_model \
	t_peers_model t_reads_model t_hunt_model t_proxy t_decide t_config_delay \
	t_lease t_revocation t_former t_added t_attempt t_standing t_open_orders \
	t_wire t_objects t_poller t_log t_queue t_parse t_history t_failover_model \
	t_read_model t_placement t_http t_command t_fuzz t_entry t_coordinator \
	t_monitor t_members t_dbconn t_operation t_leaving t_restart t_restored \
	t_old_primary t_late_order t_denials t_forgotten t_refused t_unheard \
	t_daemons t_peers t_forward t_store_news t_silent t_fleet t_drain t_holds

$(BUILD)/t_entry $(BUILD)/t_proxy $(BUILD)/t_leaving $(BUILD)/t_restart $(BUILD)/t_restored $(BUILD)/t_old_primary $(BUILD)/t_late_order $(BUILD)/t_denials $(BUILD)/t_forgotten $(BUILD)/t_refused $(BUILD)/t_peers $(BUILD)/t_forward $(BUILD)/t_store_news $(BUILD)/t_silent $(BUILD)/t_fuzz: $(BUILD)/tests/fake/testbed.o $(BUILD)/tests/fake/relay.o
$(BUILD)/t_%: $(BUILD)/tests/t_%.o $(TOOLS_O) $(BUILD)/libbergamotplank.a
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(LIBS) \
	    $(TEST_LIBS)

# Cost of a statement, beside a direct call.
bench: all $(BUILD)/bench
	$(BUILD)/bench

# Growth of costs with size, the basis of docs/CAPACITY.md.
slopes: all $(BUILD)/slopes
	$(BUILD)/slopes

# The required measures beside their baselines: SEED, SEEDS.
SEEDS = 3
measure: all $(BUILD)/measure
	$(BUILD)/measure --seed $(SEED) --seeds $(SEEDS) \
	    --csv $(BUILD)/measure.csv

# Random input to decoders and sockets, with sanitizers.
SANITIZED = $(BUILD)/sanitized
SANITIZE = -O1 -g -fsanitize=address,undefined -fno-omit-frame-pointer
fuzz-input:
	@$(MAKE) --no-print-directory -j4 BUILD=$(SANITIZED) \
	    CFLAGS="$(SANITIZE)" $(SANITIZED)/t_fuzz \
	    $(SANITIZED)/bergamotplank $(SANITIZED)/fakesite
	BP_BUILD=$(SANITIZED) ASAN_OPTIONS=detect_leaks=0 \
	    tests/run.sh $(SANITIZED)/t_fuzz

SEED = 1
STEPS = 2000000
fuzz: $(BUILD)/fuzz
	$(BUILD)/fuzz --seed $(SEED) --steps $(STEPS)

# Plans of the proxy model, drawn at random.
SECONDS = 300
hunt-model: $(BUILD)/hunt_model
	$(BUILD)/hunt_model --seed $(SEED) --seconds $(SECONDS)

tests: $(TESTS:%=$(BUILD)/%) all

# Regenerate gen/, which is committed, from schema/.
generate:
	protoc-c --proto_path=schema --c_out=gen schema/*.proto
	awk -f schema/ranges.awk schema/*.proto >gen/ranges.c

FORMATTED = $(wildcard src/*.[ch] src/decide/*.[ch] src/proxy/*.[ch] \
	platform/*.[ch] tools/*.[ch] \
	tests/*.[ch] tests/*/*.[ch])

format:
	clang-format -i $(FORMATTED)

clean:
	rm -rf $(BUILD)

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

.PHONY: all deps demo check lint generate format clean tests fuzz fuzz-input hunt-model \
	bench measure slopes
