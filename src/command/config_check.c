#include "command/config_check.h"

#include "config_document.h"

#include <errno.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

/** Largest file that is read, which bounds memory on endless input. */
#define FILE_BYTES_MAX (16U << 20)
#define CHUNK_BYTES 65536

/* Returns an exit code and prints the error. */
static int
read_file(const char *path, char **text, size_t *len)
{
	FILE *f = fopen(path, "re");
	size_t n = 0;

	*text = NULL;
	*len = 0;
	if (f != NULL) {
		do {
			*text = mem_grow(*text, *len + CHUNK_BYTES, 1);
			n = fread(*text + *len, 1, CHUNK_BYTES, f);
			*len += n;
		} while (n == CHUNK_BYTES && *len <= FILE_BYTES_MAX);
	}
	if (f == NULL || ferror(f)) {
		fprintf(stderr, "%s: %s\n", path, strerror(errno));
		if (f != NULL)
			fclose(f);
		return EX_NOINPUT;
	}
	fclose(f);
	if (*len <= FILE_BYTES_MAX)
		return EX_OK;
	fprintf(stderr, "%s: larger than %u bytes\n", path, FILE_BYTES_MAX);
	return EX_DATAERR;
}

static int
load_document(const char *path, struct config_document *out,
    struct config_findings *findings)
{
	char *text;
	size_t len;
	int rc = read_file(path, &text, &len);

	if (rc == EX_OK)
		config_document_read((struct str){text, len}, out, findings);
	free(text);
	return rc;
}

static const char *
severity(const struct config_finding *f)
{
	return f->error ? "error" : "warning";
}

static void
print_findings(const char *path, const struct config_findings *list)
{
	for (size_t i = 0; i < list->count; i++)
		printf("%s: %s: %s: %s\n", path, severity(&list->items[i]),
		    list->items[i].place, list->items[i].reason);
}

static void
append_findings(
    json_t *to, const char *path, const struct config_findings *list)
{
	for (size_t i = 0; i < list->count; i++) {
		const struct config_finding *f = &list->items[i];

		json_t *file = json_string(path);

		/* A path need not be UTF-8, as JSON strings have to be. */
		json_array_append_new(to,
		    json_pack("{s:o, s:s, s:s, s:s}", "file",
			file == NULL ? json_null() : file, "severity",
			severity(f), "place", f->place, "reason", f->reason));
	}
}

static json_t *
differences_json(const struct config_differences *list)
{
	json_t *j = json_array();

	for (size_t i = 0; i < list->count; i++) {
		const struct config_difference *d = &list->items[i];

		json_array_append_new(
		    j, json_pack("{s:s, s:s, s:s}", "place", d->place, "change",
			   d->change, "open_flows", d->effect));
	}
	return j;
}

/** A file and what was found in it. */
struct input {
	const char *path;
	struct config_document document;
	struct config_findings findings;
};

static void
print_json(const struct input *in, const struct input *against,
    const struct config_differences *differences)
{
	json_t *findings = json_array();
	json_t *j;

	append_findings(findings, in->path, &in->findings);
	append_findings(findings, against->path, &against->findings);
	j = json_pack("{s:o, s:o}", "findings", findings, "differences",
	    differences_json(differences));
	json_dumpf(j, stdout, JSON_COMPACT);
	putchar('\n');
	json_decref(j);
}

static void
print_text(const struct input *in, const struct input *against,
    const struct config_differences *differences)
{
	print_findings(in->path, &in->findings);
	print_findings(against->path, &against->findings);
	for (size_t i = 0; i < differences->count; i++) {
		const struct config_difference *d = &differences->items[i];

		printf("%s: difference: %s: %s; open flows: %s\n", in->path,
		    d->place, d->change, d->effect);
	}
}

int
op_check_flows(const char *path, const char *against, bool json)
{
	struct input in = {.path = path};
	struct input old = {.path = against};
	struct config_differences differences = {0};
	int rc = load_document(path, &in.document, &in.findings);

	if (rc == EX_OK && against != NULL)
		rc = load_document(against, &old.document, &old.findings);
	if (rc == EX_OK) {
		config_check(&in.document.description, &in.findings);
		/* Differences from a malformed file would be misleading. Only
		 * malformed fields of the file in force are reported. */
		if (against != NULL && in.findings.errors == 0 &&
		    old.findings.errors == 0)
			config_compare(&old.document.description,
			    &in.document.description, &differences);
		if (json)
			print_json(&in, &old, &differences);
		else
			print_text(&in, &old, &differences);
		if (in.findings.errors + old.findings.errors > 0)
			rc = EX_DATAERR;
	}
	config_findings_clear(&in.findings);
	config_findings_clear(&old.findings);
	config_differences_clear(&differences);
	config_document_clear(&in.document);
	config_document_clear(&old.document);
	return rc;
}
